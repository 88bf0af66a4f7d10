import { RegistryStore, ScriptedUpstream } from "@pistachioway/standins";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { request } from "node:http";
import { createServer } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { chooseAddresses, RouterProcess, type RouterAddresses } from "./RouterProcess.js";
import { getFreePorts } from "./getFreePorts.js";

/** Listeners of a router, each with what it is bound to. */
const listeners = [
  "callers",
  "readiness",
  "operations",
  "forwarding",
  "datagrams",
  "metrics",
] as const;
type ListenerName = (typeof listeners)[number];

/** What is seen of a router from outside. */
interface Observation {
  readonly listener: ListenerName;
  /** Status of the readiness page; undefined when it cannot be read. */
  readonly readiness: number | undefined;
  /** Status of a request; undefined when the router cannot be reached. */
  readonly answer: number | undefined;
  /** Whether the router knows the peer, and the peer knows the router. */
  readonly isInFleet: boolean;
  readonly hasMetrics: boolean;
  readonly exitCode: number | null | undefined;
}

interface Page {
  readonly status: number | undefined;
  readonly text: string;
}

interface Context {
  store: RegistryStore;
  upstream: ScriptedUpstream;
  peer: RouterProcess;
  routers: readonly RouterProcess[];
}

/** Status of the readiness page while an address is in use. */
const readinessWhileHeld: Readonly<Record<ListenerName, number | undefined>> = {
  callers: 503,
  readiness: undefined,
  operations: 503,
  forwarding: 503,
  datagrams: 503,
  metrics: 200,
};

const startAndStopEvents = [
  "daemon.starting",
  "daemon.listening",
  "daemon.start-failed",
  "daemon.stopping",
  "daemon.stopped",
];

const test = suite<Context>("start of a router whose addresses are in use");
const peerHost = "127.0.0.2";
const firstHost = 3;
const heldMilliseconds = 3_000;
/** Longest time in which a router comes up once its addresses are free, or ends. */
const timeoutMilliseconds = 30_000;
const checkMilliseconds = 100;

test.before.each(async (context) => {
  context.store = RegistryStore.create();
  context.upstream = ScriptedUpstream.create("i-1");
  await Promise.all([context.store.listen(), context.upstream.listen()]);
  context.store.publishConfiguration();
  context.store.publishUpstream(context.upstream);
  const [metrics = 0] = await getFreePorts(1);
  const addresses = { ...(await chooseAddresses(peerHost)), metrics };
  context.peer = await RouterProcess.launch(addresses, context.store.address);
  context.routers = [];
  await context.peer.waitUntilLoaded();
  await waitUntil(async () => (await getReadiness(context.peer)) === 200);
});

test.after.each(async ({ store, upstream, peer, routers }) => {
  await Promise.all([peer, ...routers].map((router) => router.kill()));
  await Promise.all([store.close(), upstream.close()]);
});

// Guards against a router that lives on without what comes after a listener whose address was in use (issue 45).
test("comes up whole when the address becomes free", async (context) => {
  const releases = await launchWithHeldAddresses(context);
  await delay(heldMilliseconds);
  const readinessBefore = await Promise.all(context.routers.map(getReadiness));
  releases.forEach((release) => {
    release();
  });
  const expected = listeners.map(createWhole);
  assert.equal(await observeUntil(context, expected), expected);
  assert.equal(
    readinessBefore,
    listeners.map((listener) => readinessWhileHeld[listener]),
  );
});

// Guards against a start without an end: nobody sees, or starts again, a process that only seems to run (issue 45).
test("ends with an exit code of its own when the address stays in use", async (context) => {
  const releases = await launchWithHeldAddresses(context);
  const expected = listeners.map((listener) =>
    listener === "metrics"
      ? { ...createWhole(listener), hasMetrics: false }
      : createEnded(listener),
  );
  const seen = await observeUntil(context, expected);
  releases.forEach((release) => {
    release();
  });
  assert.equal(seen, expected);
  assert.equal(
    context.routers.map(getFailure),
    listeners.map((name, index) => {
      const { addresses } = context.routers[index] ?? context.peer;
      const address = `${addresses.host}:${String(getPort(addresses, name))}`;
      return name === "metrics" ? undefined : `detail=${JSON.stringify(getMessage(name, address))}`;
    }),
  );
});

// Guards against a stop that waits for a start, or a start that goes on during a stop (issue 45).
test("a signal ends the start in order", async (context) => {
  const releases = await launchWithHeldAddresses(context);
  const starting = context.routers.slice(0, listeners.indexOf("metrics"));
  await waitUntil(() =>
    Promise.resolve(starting.every((router) => router.getLines("listener.refused").length > 0)),
  );
  starting.forEach((router) => {
    router.terminate();
  });
  await waitUntil(() =>
    Promise.resolve(starting.every((router) => router.getExitCode() !== undefined)),
  );
  releases.forEach((release) => {
    release();
  });
  assert.equal(
    starting.map((router) => ({
      exitCode: router.getExitCode(),
      stopEvents: router
        .getAllLines()
        .map((line) => /event=(\S+)/.exec(line)?.[1])
        .filter((event) => event !== undefined && startAndStopEvents.includes(event)),
      lastEvent: /event=(\S+)/.exec(router.getAllLines().at(-2) ?? "")?.[1],
    })),
    starting.map(() => ({
      exitCode: 0,
      stopEvents: ["daemon.starting", "daemon.stopping", "daemon.stopped"],
      lastEvent: "daemon.stopped",
    })),
  );
});

/** Launches a router for each listener while another socket has the listener's address. */
async function launchWithHeldAddresses(context: Context): Promise<readonly (() => void)[]> {
  const {
    addresses,
    addresses: { host, datagrams },
  } = context.peer;
  const releases: (() => void)[] = [];
  context.routers = await Promise.all(
    listeners.map(async (listener, index) => {
      const own = { ...addresses, host: `127.0.0.${String(firstHost + index)}` };
      releases.push(await holdAddress(own, listener));
      const seeds = [`${host}:${String(datagrams)}`];
      return RouterProcess.launch(own, context.store.address, { seeds });
    }),
  );
  await Promise.all(context.routers.map((router) => router.waitUntilLoaded()));
  return releases;
}

/** Listens on the address of a listener; the function that is returned frees it. */
async function holdAddress(
  addresses: RouterAddresses,
  listener: ListenerName,
): Promise<() => void> {
  const port = getPort(addresses, listener);
  if (listener === "datagrams") {
    const socket = createSocket("udp4").bind(port, addresses.host);
    await once(socket, "listening");
    return () => socket.close();
  }
  const server = createServer((socket) => socket.destroy()).listen(port, addresses.host);
  await once(server, "listening");
  return () => server.close();
}

function getPort(addresses: RouterAddresses, listener: ListenerName): number {
  return addresses[listener === "forwarding" ? "datagrams" : listener] ?? 0;
}

function createWhole(listener: ListenerName): Observation {
  const exitCode = undefined;
  return { listener, readiness: 200, answer: 200, isInFleet: true, hasMetrics: true, exitCode };
}

function createEnded(listener: ListenerName): Observation {
  const exitCode = 5;
  return {
    listener,
    readiness: undefined,
    answer: undefined,
    isInFleet: false,
    hasMetrics: false,
    exitCode,
  };
}

/** Observes the routers until they are as expected, or for long enough. */
async function observeUntil(
  context: Context,
  expected: readonly Observation[],
): Promise<readonly Observation[]> {
  let seen: readonly Observation[] = [];
  await waitUntil(async () => {
    seen = await Promise.all(listeners.map((listener, index) => observe(context, listener, index)));
    return JSON.stringify(seen) === JSON.stringify(expected);
  });
  return seen;
}

async function observe(
  { routers, peer }: Context,
  listener: ListenerName,
  index: number,
): Promise<Observation> {
  const router = routers[index] ?? peer;
  const { addresses } = router;
  const [readiness, answer, own, peers, metrics] = await Promise.all([
    getReadiness(router),
    getAnswer(router),
    getPage(addresses, "operations", "/status"),
    getPage(peer.addresses, "operations", "/status"),
    getPage(addresses, "metrics", "/metrics"),
  ]);
  return {
    listener,
    readiness,
    answer,
    isInFleet: own.text.includes(`"r-${peerHost}"`) && peers.text.includes(`"r-${addresses.host}"`),
    hasMetrics: metrics.status === 200,
    exitCode: router.getExitCode(),
  };
}

/** Gets the detail of the line that a router ended with, if its start failed. */
function getFailure(router: RouterProcess): string | undefined {
  const [line] = router.getLines("daemon.start-failed");
  return line === undefined ? undefined : /detail=".*"$/.exec(line)?.[0];
}

function getMessage(listener: ListenerName, address: string): string {
  return `listener "${listener}" cannot listen on "${address}": EADDRINUSE`;
}

async function getAnswer({ addresses }: RouterProcess): Promise<number | undefined> {
  const headers = { host: "chat.example", "request-id": "q", "api-key": "k-1" };
  return (await getPage(addresses, "callers", "/read/1", headers)).status;
}

async function getReadiness({ addresses }: RouterProcess): Promise<number | undefined> {
  return (await getPage(addresses, "readiness", "/readyz")).status;
}

/** Gets a page of a router; without a status when its listener cannot be reached. */
async function getPage(
  addresses: RouterAddresses,
  listener: ListenerName,
  path: string,
  headers: Readonly<Record<string, string>> = {},
): Promise<Page> {
  const { host } = addresses;
  const port = getPort(addresses, listener);
  const asked = request({ host, port, path, headers, agent: false });
  return new Promise((resolve) => {
    asked.once("error", () => {
      resolve({ status: undefined, text: "" });
    });
    asked.once("response", (response) => {
      let text = "";
      response.on("data", (chunk: Buffer) => (text += chunk.toString()));
      response.once("close", () => {
        resolve({ status: response.statusCode, text });
      });
    });
    asked.end();
  });
}

/** Waits until a condition holds, or for long enough. */
async function waitUntil(isTrue: () => Promise<boolean>): Promise<void> {
  const deadline = performance.now() + timeoutMilliseconds;
  while (!(await isTrue()) && performance.now() < deadline) {
    await delay(checkMilliseconds);
  }
}

test.run();
