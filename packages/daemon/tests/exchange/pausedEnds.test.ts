import { ConnectionPool, Exchange } from "@pistachioway/daemon";
import { headerCodec } from "@pistachioway/platform";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";

interface Context {
  server: Server;
  address: string;
  pool: ConnectionPool;
  /** Answers a request on its connection. */
  answer: (socket: Socket) => void;
}

/** What a listener was told of an answer. */
interface Received {
  readonly bytes: number;
  readonly end: "complete" | { readonly end: string; readonly wasClosedByUpstream: boolean };
}

const test = suite<Context>("ends of connections that are paused");

/** With its head the answer is read in one piece, which uses up a turn. */
const bodyBytes = 65_400;
const pauseMilliseconds = 100;
const heads = {
  "neither length nor chunks": "Connection: close\r\n",
  "a length": `Connection: close\r\nContent-Length: ${String(bodyBytes)}\r\n`,
};

test.before.each(async (context) => {
  context.pool = ConnectionPool.create();
  context.server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.once("data", () => {
      context.answer(socket);
    });
  });
  await new Promise<void>((resolve) => context.server.listen(0, "127.0.0.1", resolve));
  context.address = `127.0.0.1:${String((context.server.address() as AddressInfo).port)}`;
});

test.after.each(({ server, pool }) => {
  pool.close();
  server.close();
});

function createHead(lines: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nResponse-Stamp: stamp-1\r\n${lines}\r\n`;
}

/** Sends a request, and pauses after each piece of its answer for a time. */
function send({ address, pool }: Context, pausedFor?: number): Promise<Received> {
  const request = { address, requestId: "q-1", method: "GET", path: "/read", headers: [] };
  return new Promise((resolve) => {
    let bytes = 0;
    const exchange = Exchange.start(
      pool,
      headerCodec,
      { ...request, body: undefined },
      {
        onHead: () => undefined,
        onData: (chunk) => {
          bytes += chunk.length;
          if (pausedFor !== undefined) {
            exchange.pause();
            setTimeout(() => {
              exchange.resume();
            }, pausedFor);
          }
        },
        onEnd: () => {
          resolve({ bytes, end: "complete" });
        },
        onFailure: ({ end, wasClosedByUpstream }) => {
          resolve({ bytes, end: { end, wasClosedByUpstream } });
        },
      },
    );
  });
}

async function sendInTime(context: Context, pausedFor?: number): Promise<Received | "no end"> {
  return Promise.race([send(context, pausedFor), delay(2_000, "no end" as const)]);
}

for (const [name, head] of Object.entries(heads)) {
  // Guards against answers without end: the HTTP client throws at the end of a connection that is paused.
  test(`an answer of a whole turn with ${name} ends while its connection waits for its turn`, async (context) => {
    context.answer = (socket) => {
      socket.end(createHead(head) + "x".repeat(bodyBytes));
    };
    assert.equal(await sendInTime(context), { bytes: bodyBytes, end: "complete" });
  });
}

// Guards against requests that stay open until their deadline although their stream has ended, when callers read slowly.
test("an answer ends while its receiver is slow", async (context) => {
  context.answer = (socket) => {
    socket.end(`${createHead("Connection: close\r\n")}id: 1\n\n`);
  };
  assert.equal(await sendInTime(context, pauseMilliseconds), { bytes: 7, end: "complete" });
});

// Guards against a reset that is taken for the end of an answer, or for nothing, while its receiver is slow.
test("an answer that is reset while its receiver is slow is lost", async (context) => {
  context.answer = (socket) => {
    socket.write(`${createHead("Connection: close\r\n")}id: 1\n\n`);
    setTimeout(() => socket.resetAndDestroy(), pauseMilliseconds / 2);
  };
  const end = { end: "lost", wasClosedByUpstream: true } as const;
  assert.equal(await sendInTime(context, pauseMilliseconds), { bytes: 7, end });
});

test.run();
