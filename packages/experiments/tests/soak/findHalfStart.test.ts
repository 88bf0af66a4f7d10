import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { once } from "node:events";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { findHalfStart } from "../../dist/soak/findHalfStart.js";
import { RouterProcess } from "../../dist/soak/RouterProcess.js";

/** A server for the pages of a router, by path; a page that is missing has status 404. */
interface Context {
  pages: Record<string, string>;
  server: Server;
  router: RouterProcess;
}

const test = suite<Context>("soak: findHalfStart");

const names = ["r-1", "r-2", "r-3"];

test.before.each(async (context) => {
  context.pages = {};
  context.server = createServer((request, response) => {
    const page = context.pages[request.url ?? ""];
    response.writeHead(page === undefined ? 404 : 200).end(page);
  }).listen(0, "127.0.0.1");
  await once(context.server, "listening");
  const { port } = context.server.address() as AddressInfo;
  const ports = { callers: 1, readiness: port, operations: port, datagrams: 1 };
  context.router = RouterProcess.create("r-1", "127.0.0.1", ports, "127.0.0.1:5");
});

test.after.each(({ server }) => {
  server.closeAllConnections();
  server.close();
});

function formatStatus(...peers: readonly string[]): string {
  return JSON.stringify({ peers: peers.map((name) => ({ name, version: 1 })) });
}

// Guards against a process that runs and does a part of its work only (FAULT).
test("finds what a router does not do", async ({ pages, router }) => {
  const getFailure = (): Promise<string | undefined> => findHalfStart(router, names);
  assert.is(await getFailure(), "is not ready");
  pages["/readyz"] = "ready";
  assert.is(await getFailure(), "gives no status");
  pages["/status"] = formatStatus("r-2");
  assert.is(await getFailure(), "does not know its peers r-3");
  pages["/status"] = formatStatus("r-3", "r-2");
  assert.is(await getFailure(), undefined);
});

test.run();
