import type { Script } from "@pistachioway/standins";
import type { Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  processTimeoutMilliseconds,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";
import { waitFor } from "./RouterFixture.js";
import type { RouterProcess } from "./RouterProcess.js";

const test = suite<ProcessContext>("whole answers whose router ends before they are sent");

/** More than the buffers of a connection take. */
const bodyBytes = 7_000_000;

/** Answers with a large body that ends with its connection. */
const answerUnframed: Script = ({ id }, { socket }) => {
  const head = `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nResponse-Stamp: stamp-${id}\r\nConnection: close\r\n\r\n`;
  socket?.end(head + "x".repeat(bodyBytes));
};

const ends: Readonly<Record<string, (router: RouterProcess) => Promise<unknown>>> = {
  "is killed": (router) => router.kill(),
  "gets SIGTERM twice": async (router) => {
    router.terminate();
    await waitFor(() => router.getLines("daemon.stopping").length > 0);
    router.terminate();
    await router.waitForExit();
  },
};

test.before.each(async (context) => {
  await setUpProcess(context, { upstreamCount: 1, listedCount: 1 });
});

test.after.each(tearDownProcess);

/** Reads on a paused connection until it ends. */
function readToEnd(socket: Socket): Promise<{ bytes: number; end: "closed" | "reset" }> {
  return new Promise((resolve) => {
    let bytes = 0;
    socket.on("data", (chunk) => (bytes += chunk.length));
    socket.once("end", () => {
      resolve({ bytes, end: "closed" });
    });
    socket.once("error", () => {
      resolve({ bytes, end: "reset" });
    });
    socket.resume();
  });
}

for (const [name, endRouter] of Object.entries(ends)) {
  // Guards against a part of an answer that looks complete, as only the end of its connection ends it (MIXED).
  test(`do not look complete when it ${name}`, async ({ router, upstreams }) => {
    upstreams.forEach((upstream) => {
      upstream.setScript(answerUnframed);
    });
    const socket = router.open();
    socket.pause();
    socket.write(
      "GET /read/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n" +
        `Deadline-Ms: ${String(processTimeoutMilliseconds)}\r\n\r\n`,
    );
    await waitFor(() => router.getLines("request.finished").length > 0);
    await endRouter(router);
    const { bytes, end } = await readToEnd(socket);
    assert.is(bytes > bodyBytes || end === "reset", true);
  });
}

test.run();
