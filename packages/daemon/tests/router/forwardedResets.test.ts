import { respondWith, type Script } from "@pistachioway/standins";
import * as assert from "uvu/assert";
import { createPeerStreamSuite, type PeerContext } from "./createPeerStreamSuite.js";
import { streamFramed } from "./framedStreams.js";
import { firstThen, resetBehind } from "./scripts.js";
import { readStream, type SeenStream } from "./StreamCaller.js";

const lastEvent = 20;
const wholeIds = Array.from({ length: lastEvent }, (_, index) => index + 1);
const firstEvents = "id: 1\ndata: piece\n\nid: 2\ndata: piece\n\n";
const goOn = streamFramed({ framing: "chunks", lastEvent });
const begin = resetBehind(firstEvents, "text/event-stream");

const test = createPeerStreamSuite(
  "answers that name no end, come through a peer, and whose upstream resets behind their last bytes",
  goOn,
);

function setScripts({ fleet }: PeerContext, script: Script): void {
  fleet.upstreams.forEach((upstream) => {
    upstream.setScript(script);
  });
}

/** Calls a route of streams at the router that reaches no upstream. */
function callStream({ fleet }: PeerContext, route: "stream" | "once"): Promise<SeenStream> {
  const port = fleet.routers[0]?.callersPort ?? 0;
  return readStream({ port, path: `/${route}/1`, id: "q-1" });
}

// Guards against a reset at the peer's upstream that reaches the caller as the end of its stream (ORDER).
test("go on elsewhere after events", async (context) => {
  setScripts(context, firstThen(begin, goOn));
  const { ids, isComplete } = await callStream(context, "stream");
  assert.equal({ ids, isComplete }, { ids: wholeIds, isComplete: true });
});

test("are broken off after events of a stream that may not go on", async (context) => {
  setScripts(context, begin);
  const { ids, isComplete } = await callStream(context, "once");
  assert.equal({ ids, isComplete }, { ids: [1, 2], isComplete: false });
});

// Guards against a part of a whole answer that a peer passes on with its length (MIXED).
test("are asked for elsewhere after a part", async (context) => {
  setScripts(context, firstThen(resetBehind("a part"), respondWith("whole")));
  const response = await context.fleet.routers[0]?.call("/read/1", { id: "q-1" });
  assert.equal([response?.status, response?.body], [200, "whole"]);
});

test("leave open whether a request has run", async (context) => {
  setScripts(context, resetBehind("a part"));
  const response = await context.fleet.routers[0]?.call("/act/1", { method: "POST", body: "x" });
  assert.is(response?.status, 502);
});

test.run();
