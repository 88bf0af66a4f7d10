import type { Script } from "@pistachioway/standins";
import * as assert from "uvu/assert";
import { createPeerStreamSuite, type PeerContext } from "./createPeerStreamSuite.js";
import { firstThen } from "./scripts.js";
import { readStream, type SeenStream } from "./StreamCaller.js";
import { createEvents, goOn, streamPieces, whole, withoutStatus } from "./streamPieces.js";

const test = createPeerStreamSuite("streams that go on through a peer", goOn);

function callStream({ fleet }: PeerContext, first: Script, later: Script): Promise<SeenStream> {
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
