import { respondWith, ScriptedUpstream, type HeadScript } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { wasReset } from "../../dist/exchange/index.js";
import { createPeerStreamSuite } from "./createPeerStreamSuite.js";
import { processTimeoutMilliseconds } from "./ProcessContext.js";
import { readResponse, RouterFixture, waitFor, type RawResponse } from "./RouterFixture.js";
import type { Context } from "./scripts.js";

const test = suite<Context>(
  "answers that name no end and break off while a long request is being written",
);

const maxBodyBytes = 8_388_608;
/** One that the buffers between two processes hold, and one that they do not. */
const bodySizes = [60_000, 3_500_000];
const resetTimes = [0, 150, 900];
/** Longer than any of these requests takes. */
const unreadMilliseconds = 60_000;

/** Writes a part of an answer before the body is read, and resets the connection some time later. */
function answerAndReset(resetMilliseconds: number): HeadScript {
  return ({ id, path }, { socket }) => {
    const isStream = path.startsWith("/once/");
    const part = isStream ? "id: 1\ndata: piece\n\n" : "a part";
    const type = isStream ? "text/event-stream" : "text/plain";
    socket?.write(
      `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\n` +
        `Content-Type: ${type}\r\nConnection: close\r\n\r\n${part}`,
      () => setTimeout(() => socket.resetAndDestroy(), resetMilliseconds),
    );
    return unreadMilliseconds;
  };
}

/** What a caller has received of the response to a long request. */
interface SeenResponse extends RawResponse {
  /** Whether the caller can tell that the response is not the whole answer. */
  readonly isTold: boolean;
}

/** Sends a request with a long body, and gets the response. */
async function upload(
  { fixture }: Context,
  path: string,
  bytes: number,
  version: "1.0" | "1.1",
): Promise<SeenResponse> {
  const socket = fixture.open();
  // Node.js reports a reset behind bytes as an end; only a socket that is still open on this side tells.
  socket.allowHalfOpen = true;
  let isReset = false;
  socket.once("end", () => {
    isReset = wasReset(socket);
  });
  socket.write(
    `POST ${path} HTTP/${version}\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n` +
      `Deadline-Ms: ${String(processTimeoutMilliseconds)}\r\nContent-Length: ${String(bytes)}\r\n\r\n`,
  );
  socket.write("x".repeat(bytes));
  const response = await readResponse(socket);
  const hasChunks = response.headers["transfer-encoding"] === "chunked";
  const isBroken = isReset || response.end === "reset" || (hasChunks && response.end !== "open");
  return { ...response, isTold: response.status !== 200 || isBroken };
}

async function setUp(context: Context, script: HeadScript): Promise<void> {
  context.upstreams = [
    ScriptedUpstream.create("i-1", respondWith("whole"), script),
    ScriptedUpstream.create("i-2", respondWith("whole"), script),
  ];
  context.fixture = await RouterFixture.create(context.upstreams);
  const { store, logLines } = context.fixture;
  const timeoutMilliseconds = processTimeoutMilliseconds;
  store.publishConfiguration({ version: 2, timeoutMilliseconds, maxBodyBytes });
  await waitFor(() => logLines.some((line) => line.includes("configuration.in-force version=2")));
}

test.after.each(async ({ fixture, upstreams }) => {
  await fixture.close(upstreams);
});

for (const resetMilliseconds of resetTimes) {
  // Guards against a part that was reset during an upload reaching the caller as a complete answer (MIXED).
  test(`do not look complete when reset after ${String(resetMilliseconds)} ms`, async (context) => {
    await setUp(context, answerAndReset(resetMilliseconds));
    for (const bytes of bodySizes) {
      for (const path of ["/act/1", "/read/1", "/once/1"]) {
        for (const version of ["1.0", "1.1"] as const) {
          const { status, end, isTold } = await upload(context, path, bytes, version);
          assert.ok(isTold, `${path} ${String(bytes)} ${version}: ${String(status)} ${end}`);
        }
      }
    }
  });
}

test.run();

const forwarded = createPeerStreamSuite(
  "answers that name no end and break off while a long request is being written, through a peer",
  respondWith("whole"),
);

for (const bytes of bodySizes) {
  forwarded(`do not look complete: ${String(bytes)} bytes`, async ({ fleet }) => {
    fleet.upstreams.forEach((upstream) => {
      upstream.setHeadScript(answerAndReset(0));
    });
    const body = "x".repeat(bytes);
    const response = await fleet.routers[0]?.call("/act/1", { method: "POST", body });
    assert.is(response?.status, 502);
  });
}

forwarded.run();
