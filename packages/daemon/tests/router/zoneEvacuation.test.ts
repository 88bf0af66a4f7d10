import {
  FaultProxy,
  respondWith,
  ScriptedUpstream,
  type ReceivedRequest,
} from "@pistachioway/standins";
import type { ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RouterFixture, waitFor } from "./RouterFixture.js";
import { readStream } from "./StreamCaller.js";
import { createEvents, goOn, whole } from "./streamPieces.js";

interface Context {
  proxy: FaultProxy;
  north: ScriptedUpstream;
  south: ScriptedUpstream;
  routers: readonly RouterFixture[];
}

const test = suite<Context>("evacuation of a zone");

const routerCount = 3;
/** Router that is cut off from the registry and restarted. */
const cutRouter = 2;
/** Time in which routers find each other. */
const settlingMilliseconds = 1_500;
const commentMilliseconds = 50;
/** Timeout of routes; a request in flight lasts until every router knows of the evacuation. */
const timeoutMilliseconds = 5_000;

test.before.each(async (context) => {
  context.proxy = FaultProxy.create();
  context.north = ScriptedUpstream.create("i-north");
  context.south = ScriptedUpstream.create("i-south");
  context.south.zone = "south";
  await Promise.all([context.north.listen(), context.south.listen()]);
  context.routers = await RouterFixture.createFleet(routerCount, (store, router) =>
    context.proxy.addLink({ name: String(router), target: store.address }),
  );
  const { store } = getFirst(context);
  store.publishConfiguration({ version: 2, timeoutMilliseconds });
  store.publishUpstream(context.north);
  store.publishUpstream(context.south);
  await waitForLine(context.routers, "event=upstream.changed upstream=i-south");
});

test.after.each(async ({ routers, north, south, proxy }) => {
  await Promise.all(routers.map((router) => router.close([])));
  await Promise.all([north.close(), south.close(), proxy.close()]);
});

function getFirst({ routers }: Context): RouterFixture {
  const [first] = routers;
  if (first === undefined) {
    throw new Error("the fleet has no routers");
  }
  return first;
}

async function waitForLine(routers: readonly RouterFixture[], text: string): Promise<void> {
  await waitFor(() =>
    routers.every(({ logLines }) => logLines.some((line) => line.includes(text))),
  );
}

async function evacuate(context: Context, zone: string): Promise<void> {
  getFirst(context).store.evacuateZone(zone);
  await waitForLine(context.routers, `event=zone.evacuated zone=${zone}`);
}

/** Sends requests to every router, and gets their statuses. */
async function callAll({ routers }: Context): Promise<readonly number[]> {
  const calls = routers.flatMap((router) =>
    ["/read/1", "/act/1", "/stream/1"].map((path) => router.call(path, { method: "POST" })),
  );
  return (await Promise.all(calls)).map(({ status }) => status);
}

/** Streams three events and then comments, and resets the connection inside an event once a condition holds. */
function streamUntil(
  isOver: () => boolean,
  request: ReceivedRequest,
  response: ServerResponse,
): void {
  response.writeHead(200, {
    ...{ "request-id": request.id, "response-stamp": `stamp-${request.id}` },
    "content-type": "text/event-stream",
  });
  response.write(createEvents(1, 3).join(""));
  const timer = setInterval(() => {
    if (isOver()) {
      clearInterval(timer);
      response.write("id: 4\nda", () => response.socket?.resetAndDestroy());
    } else {
      response.write(": keep-alive\n\n");
    }
  }, commentMilliseconds);
}

const allServed = Array<number>(routerCount * 3).fill(200);

// Guards against new requests to the zone, and against requests in flight that are cut off.
test("sends nothing new to the zone, and finishes what runs there", async (context) => {
  let finish: () => void = () => undefined;
  context.north.setScript((request, response) => {
    finish = () => {
      respondWith("late")(request, response);
    };
  });
  const running = getFirst(context).call("/act/9", { id: "q-running" });
  await waitFor(() => context.north.received.length === 1);
  await evacuate(context, "north");
  const statuses = await callAll(context);
  const sentToZone = context.north.received.length;
  finish();
  const { status, body } = await running;
  context.north.setScript(respondWith("ok"));
  getFirst(context).store.returnZone("north");
  await waitForLine(context.routers, "event=zone.returned zone=north");
  await callAll(context);
  assert.equal(
    { statuses, sentToZone, status, body, isUsedAgain: context.north.received.length > 1 },
    { statuses: allServed, sentToZone: 1, status: 200, body: "late", isUsedAgain: true },
  );
});

// Guards against a continuation that goes to another upstream of the evacuated zone, or back to the same one.
test("a stream that breaks off in the zone goes on in another", async (context) => {
  let isEvacuated = false;
  context.north.setScript((request, response) => {
    streamUntil(() => isEvacuated, request, response);
  });
  context.south.setScript(goOn);
  const port = getFirst(context).callersPort;
  const reading = readStream({ port, path: "/stream/1", id: "q-1" });
  await waitFor(() => context.north.received.length === 1);
  await evacuate(context, "north");
  isEvacuated = true;
  const seen = await reading;
  assert.equal(seen, whole);
  assert.equal([context.north.received.length, context.south.received.length], [1, 1]);
});

// Guards against callers that wait for a service whose upstreams are all evacuated.
test("a service that has upstreams in the zone only is refused at once by name", async (context) => {
  await evacuate(context, "north");
  await evacuate(context, "south");
  const router = getFirst(context);
  const { status, headers, body } = await router.call("/read/1");
  const isNamed = () => router.logLines.some((line) => line.includes("outcome=zone-evacuated"));
  await waitFor(isNamed);
  const detail = 'the upstreams of service "records" are in zones that are evacuated';
  assert.equal(
    { status, retryAfter: headers["retry-after"], body: JSON.parse(body) as unknown },
    { status: 503, retryAfter: "0.5", body: { type: "zone-evacuated", detail } },
  );
  assert.equal([context.north.received.length, context.south.received.length], [0, 0]);
});

// Guards against a router that forgets the evacuation in a restart while it cannot read the registry.
test("a router that restarts without the registry learns it from a peer", async (context) => {
  await delay(settlingMilliseconds);
  await evacuate(context, "north");
  const router = context.routers[cutRouter];
  assert.ok(router);
  context.proxy.getLinkOrThrow(String(cutRouter)).setMode("closed");
  await router.restart();
  const before = context.north.received.length;
  const statuses = await callAll(context);
  assert.equal([statuses, context.north.received.length - before], [allServed, 0]);
});

// Guards against a router that takes the loss of the registry for the end of the evacuation.
test("routers that lose the registry in the middle keep it", async (context) => {
  await evacuate(context, "north");
  getFirst(context).store.setMode("reset");
  await waitForLine(context.routers, "event=registry.lost");
  const statuses = await callAll(context);
  getFirst(context).store.setMode("up");
  await waitForLine(context.routers, "event=registry.regained");
  const later = await callAll(context);
  assert.equal([statuses, later, context.north.received.length], [allServed, allServed, 0]);
});

test.run();
