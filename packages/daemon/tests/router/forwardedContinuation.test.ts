import type { Script } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LinkedFleet } from "./LinkedFleet.js";
import { waitFor } from "./RouterFixture.js";
import { firstThen } from "./scripts.js";
import { readStream, type SeenStream } from "./StreamCaller.js";
import { createEvents, goOn, streamPieces, whole, withoutStatus } from "./streamPieces.js";

interface Context {
  fleet: LinkedFleet;
}

const test = suite<Context>("streams that go on through a peer");

const timeoutMilliseconds = 5_000;

test.before.each(async (context) => {
  context.fleet = await LinkedFleet.create({ routers: 3, upstreams: 2, createScript: () => goOn });
  const [router] = context.fleet.routers;
  assert.ok(router);
  router.store.publishConfiguration({ version: 2, timeoutMilliseconds });
  context.fleet.setLinks(0, "closed");
  await router.call("/read/1", { id: "q-first" });
  await waitFor(() => router.logLines.some((line) => line.includes("service.unreached")));
});

test.after.each(async ({ fleet }) => {
  await fleet.close();
});

function callStream({ fleet }: Context, first: Script, later: Script): Promise<SeenStream> {
  const script = firstThen(first, later);
  fleet.upstreams.forEach((upstream) => {
    upstream.setScript(script);
  });
  const port = fleet.routers[0]?.callersPort ?? 0;
  return readStream({ port, path: "/stream/1", id: "q-1" });
}

// Guards against a second run from its start behind events that came through a peer (ORDER).
test("go on after the last id behind a comment", async (context) => {
  const pieces = [...createEvents(1, 3), ": keep-alive\n\n", "id: 4\nda"];
  assert.equal(await callStream(context, streamPieces(pieces, "reset"), goOn), whole);
});

test("are broken off when an upstream begins again", async (context) => {
  const first = streamPieces([...createEvents(1, 4), "id: 5\nda"], "reset");
  const seen = await callStream(context, first, streamPieces(createEvents(1, 6), "complete"));
  assert.equal(withoutStatus(seen), { ids: [1, 2, 3, 4], rest: "", isComplete: false });
});

test.run();
