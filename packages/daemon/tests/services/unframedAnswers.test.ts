import { suite } from "uvu";
import * as assert from "uvu/assert";
import { HostSender, type HostDirectory } from "../../dist/kernel/index.js";
import type { CallerQuarantine } from "../../dist/quarantine/index.js";
import { ServiceClient } from "../../dist/services/index.js";
import { Connections } from "../../dist/upstreams/index.js";
import { RawUpstream, type RawRequest } from "../upstreams/RawUpstream.js";

const deadlineMilliseconds = 20_000;
const attemptId = "d1/i1/1";
const part = `HTTP/1.1 200 OK\r\nX-Attempt-Id: ${attemptId}\r\nConnection: close\r\n\r\na part`;
/** More than the buffers of both sides hold, so that it is still being written when the answer ends. */
const longBody = Buffer.alloc(20_000_000, "x");

/** Sends a call to an upstream that answers with neither a length nor chunks, and gets what the answer is taken for. */
async function callUnframed(
  end: (request: RawRequest, upstream: RawUpstream) => void,
  body = Buffer.alloc(0),
): Promise<string> {
  const upstream = await RawUpstream.listen((request) => {
    end(request, upstream);
  }, "after head");
  const hosts = { getAddress: () => upstream.address, addObservation: () => undefined };
  const quarantine = { recordFailure: () => undefined, recordAnswer: () => undefined };
  const connections = Connections.create();
  const sender = HostSender.create(connections, hosts as unknown as HostDirectory, Date.now);
  const request = {
    ...{ service: "booking", team: "routes", method: "GET", path: "/lookups", headers: {} },
    body,
    deadline: Date.now() + deadlineMilliseconds,
  };
  const unused = quarantine as unknown as CallerQuarantine;
  const client = ServiceClient.create(sender, hosts as unknown as HostDirectory, unused, Date.now);
  const answer = await client.send(request, "r1", attemptId, "booking-1");
  await connections.close();
  await upstream.close();
  return answer.kind === "answer" ? answer.body.toString() : answer.class;
}

const test = suite("answers of services with neither a length nor chunks");

test("are complete when their host goes on serving", async () => {
  assert.is(await callUnframed(({ socket }) => socket.end(part)), "a part");
});

// Guards against a part of an answer that is passed on as a whole one when its host crashes (MIXED).
test("are lost when their host has crashed", async () => {
  const crash = async ({ socket }: RawRequest, upstream: RawUpstream): Promise<void> => {
    const isWritten = new Promise<void>((resolve) => socket.end(part, resolve));
    const isClosed = upstream.close();
    await Promise.all([isWritten, isClosed]);
  };
  assert.is(await callUnframed((request, upstream) => void crash(request, upstream)), "lost");
});

// Guards against a connection that is reset within an answer and is taken for its end (MIXED).
test("are lost when their connection is reset", async () => {
  const reset = ({ socket }: RawRequest): void => {
    socket.write(part, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  };
  assert.is(await callUnframed(reset), "lost");
});

// Guards against a reset that comes together with bytes and looks like the end of an answer (MIXED).
test("are lost when their connection is reset right behind their last bytes", async () => {
  const reset = ({ socket }: RawRequest): void => {
    socket.write(part, () => socket.resetAndDestroy());
  };
  assert.is(await callUnframed(reset), "lost");
});

// Guards against a reset that looks like the end of an answer while the request is still being written (MIXED).
test("are lost when their connection is reset before the request is written", async () => {
  const reset = ({ socket }: RawRequest): void => {
    socket.pause();
    socket.write(part, () => socket.resetAndDestroy());
  };
  assert.is(await callUnframed(reset, longBody), "lost");
});

// Guards against a complete answer that is taken for a broken one, as its host closes with bytes unread.
test("are complete when their host ends them in order and then resets the connection", async () => {
  const end = ({ socket }: RawRequest): void => {
    socket.end(part, () => socket.resetAndDestroy());
  };
  assert.is(await callUnframed(end), "a part");
});

test.run();
