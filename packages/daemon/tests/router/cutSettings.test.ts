import { RegistryStore, ScriptedUpstream, respondWith } from "@pistachioway/standins";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DaemonProcess } from "../daemon/DaemonProcess.js";
import { readResponse } from "./RouterFixture.js";
import { chooseAddresses, createSettings, type RouterAddresses } from "./RouterProcess.js";

interface Context {
  store: RegistryStore;
  upstream: ScriptedUpstream;
  addresses: RouterAddresses;
  /** Settings with all tables. */
  settings: string;
  router: DaemonProcess;
}

const test = suite<Context>("a router whose settings are cut between two tables at its start");
const seedHost = "127.0.0.2";
const revokeMilliseconds = 1_000;
/** Time without the registry after which a key may have been revoked, and no request is accepted. */
const outageMilliseconds = 2_500;
/** Time in which a change of the settings is noticed. */
const noticeMilliseconds = 6_000;

test.before.each(async (context) => {
  context.store = RegistryStore.create();
  context.upstream = ScriptedUpstream.create("i-1");
  await Promise.all([context.store.listen(), context.upstream.listen()]);
  context.upstream.setScript(respondWith("ok"));
  context.store.publishConfiguration();
  context.store.publishUpstream(context.upstream);
  context.addresses = await chooseAddresses("127.0.0.1");
  context.settings =
    createSettings(context.addresses, context.store.address, [`${seedHost}:1`]) +
    `[configuration]\nstaleMilliseconds = 500\nrevokeMilliseconds = ${String(revokeMilliseconds)}\n`;
  context.router = await DaemonProcess.create("routerMain.js");
});

test.after.each(async ({ store, upstream, router }) => {
  await router.close();
  await Promise.all([store.close(), upstream.close()]);
});

/** Starts a router whose settings end before a table, and writes the rest once they are read. */
async function startCut({ settings, router }: Context, table: string): Promise<void> {
  await router.writeSettings(settings.slice(0, settings.indexOf(`[${table}]`)));
  router.start();
  await router.waitForOutput("event=daemon.starting");
  await router.writeSettings(settings);
  await router.waitForOutput("event=upstream.changed");
}

/** Gets the status of a request; 0 when there is no response. */
async function call({ addresses }: Context): Promise<number> {
  const socket = connect(addresses.callers, addresses.host);
  socket.on("error", () => undefined);
  socket.write(
    `GET /read/1 HTTP/1.1\r\nHost: chat.example\r\nRequest-Id: q-1\r\nApi-Key: k-1\r\n\r\n`,
  );
  const { status } = await readResponse(socket);
  socket.destroy();
  return status;
}

// Guards against a router that never finds its fleet, as its settings were written to their end a moment after they were
// read (FAULT, issue 45).
test("tells its seeds of itself once they are written", async (context) => {
  const seed = createSocket("udp4");
  seed.bind(context.addresses.datagrams, seedHost);
  await once(seed, "listening");
  const isTold = once(seed, "message").then(() => true);
  await startCut(context, "peers");
  const result = await Promise.race([isTold, delay(noticeMilliseconds, false)]);
  seed.close();
  assert.is(result, true);
});

// Guards against a router that accepts keys for longer after their revocation than its settings allow (issue 45).
test("keeps to the bound on revoked keys that is written", async (context) => {
  await startCut(context, "configuration");
  const before = await call(context);
  await context.store.close();
  await delay(outageMilliseconds);
  assert.equal([before, await call(context)], [200, 503]);
});

test.run();
