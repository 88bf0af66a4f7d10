import { respondWith, type Script, type ScriptedUpstream } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LinkedFleet } from "./LinkedFleet.js";
import { waitFor } from "./RouterFixture.js";

interface Context {
  fleet: LinkedFleet;
}

const test = suite<Context>("requests through a peer while a zone is evacuated");

const callCount = 10;

/** Puts the second upstream into another zone than the routers and the first upstream. */
function createScript(upstream: ScriptedUpstream): Script {
  upstream.zone = upstream.id === "i-1" ? "north" : "south";
  return respondWith(upstream.id);
}

test.before.each(async (context) => {
  context.fleet = await LinkedFleet.create({ routers: 3, upstreams: 2, createScript });
});

test.after.each(async ({ fleet }) => {
  await fleet.close();
});

async function waitForLine({ fleet }: Context, text: string, routers = fleet.routers) {
  await waitFor(() =>
    routers.every(({ logLines }) => logLines.some((line) => line.includes(text))),
  );
}

// Guards against a peer that sends what it takes over to the evacuated zone, and against a router that takes the
// upstreams of that zone, which it still reaches, for a reason not to ask a peer.
test("a router that reaches the evacuated zone only is served by peers from another zone", async (context) => {
  const { fleet } = context;
  const [north, south] = fleet.upstreams;
  assert.ok(north && south);
  fleet.store.evacuateZone("north");
  await waitForLine(context, "event=zone.evacuated zone=north");
  fleet.setLinks(0, "closed", [south]);
  await fleet.call(0, "/read/first");
  await waitForLine(context, "event=service.unreached", fleet.routers.slice(0, 1));
  const [router] = fleet.routers;
  assert.ok(router);
  const calls = Array.from({ length: callCount }, (_, index) =>
    router.call(`/${index % 2 === 0 ? "read" : "act"}/1`, { id: `q-n-${String(index)}` }),
  );
  const responses = await Promise.all(calls);
  assert.equal(
    responses.map(({ status, body }) => [status, body]),
    Array.from({ length: callCount }, () => [200, "i-2"]),
  );
  assert.is(north.received.length, 0);
});

test.run();
