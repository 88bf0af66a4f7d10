import { ConnectionPool, Exchange } from "@pistachioway/daemon";
import { headerCodec } from "@pistachioway/platform";
import { createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { suite, type Test } from "uvu";

/** A server that answers as a test says, and connections to it. */
export interface ExchangeContext {
  server: Server;
  address: string;
  pool: ConnectionPool;
  /** Answers a request on its connection. */
  answer: (socket: Socket) => void;
}

/** What a listener was told of an answer. */
export interface Received {
  readonly bytes: number;
  readonly end: "complete" | { readonly end: string; readonly wasClosedByUpstream: boolean };
}

/** How a request is sent. */
export interface Sending {
  /** Time for which its receiver pauses after each piece of the answer, in milliseconds. */
  readonly pausedFor?: number;
  readonly body?: Buffer;
}

const limitMilliseconds = 2_000;

/**
 * Creates a suite whose tests send requests to a server of their own.
 * @param name - Name of the suite.
 */
export function createExchangeSuite(name: string): Test<ExchangeContext> {
  const test = suite<ExchangeContext>(name);
  test.before.each(async (context) => {
    context.pool = ConnectionPool.create();
    context.server = createServer({ allowHalfOpen: true }, (socket) => {
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
  return test;
}

/**
 * Creates the head of an answer.
 * @param lines - Further header lines, each with its end.
 */
export function createHead(lines: string): string {
  return `HTTP/1.1 200 OK\r\nRequest-Id: q-1\r\nResponse-Stamp: stamp-1\r\n${lines}\r\n`;
}

/** Sends a request and waits for what its listener is told. */
export async function sendInTime(
  context: ExchangeContext,
  sending: Sending = {},
): Promise<Received | "no end"> {
  return Promise.race([send(context, sending), delay(limitMilliseconds, "no end" as const)]);
}

function send({ address, pool }: ExchangeContext, sending: Sending): Promise<Received> {
  const { pausedFor, body } = sending;
  const method = body === undefined ? "GET" : "POST";
  const headers = body === undefined ? [] : ["content-length", String(body.length)];
  const request = { address, requestId: "q-1", method, path: "/read", headers, body };
  return new Promise((resolve) => {
    let bytes = 0;
    const exchange = Exchange.start(pool, headerCodec, request, {
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
    });
  });
}
