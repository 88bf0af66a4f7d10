import { ScriptedUpstream } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouterFixture } from "./RouterFixture.js";

interface Context {
  fixture: RouterFixture;
  upstream: ScriptedUpstream;
}

const test = suite<Context>("content hash of a request");

test.before.each(async (context) => {
  context.upstream = ScriptedUpstream.create("i-1", (_, response) => {
    response.socket?.resetAndDestroy();
  });
  context.fixture = await RouterFixture.create([context.upstream]);
});

test.after.each(async ({ fixture, upstream }) => {
  await fixture.close([upstream]);
});

/** Gets the content hashes in the log lines on lost attempts. */
function getLoggedHashes({ logLines }: RouterFixture): readonly string[] {
  return logLines.flatMap((line) => /event=attempt.lost .*content=(\S+)/.exec(line)?.[1] ?? []);
}

test("a lost request that comes again whole is logged with the same hash, and others with other ones", async ({
  fixture,
}) => {
  await fixture.call("/act/1", { id: "q-1", method: "POST", body: "x" });
  await fixture.call("/act/1", { id: "q-2", method: "POST", body: "x", head: "X-Trace: 7\r\n" });
  await fixture.call("/act/1", { id: "q-3", method: "POST", body: "y" });
  await fixture.call("/act/2", { id: "q-4", method: "POST", body: "x" });
  const [first, again, ...others] = getLoggedHashes(fixture);
  assert.is(first, again);
  assert.is(new Set([first, ...others]).size, 3);
});

test.run();
