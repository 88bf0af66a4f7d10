import { suite } from "uvu";
import * as assert from "uvu/assert";
import { UpstreamTable, type QueuedRequest, type UpstreamEntry } from "@pistachioway/kernel";
import { AdmissionQueues } from "../../dist/ingress/index.js";
import { RouterMetrics } from "../../dist/metrics/RouterMetrics.js";

const service = "engine";
const slots = 10;

interface Context {
  queues: AdmissionQueues;
  entry: UpstreamEntry;
  metrics: RouterMetrics;
  now: number;
  /** What became of requests, in order. */
  results: string[];
}

const test = suite<Context>("AdmissionQueues");

test.before.each((context) => {
  const upstreams = UpstreamTable.create();
  const address = "127.0.0.1:1";
  const versions = { softwareVersion: "v1", bornAt: 1, sequence: 1 };
  upstreams.addUpstream(
    { id: "e-1", service, address, zone: "north", slots, state: "ready", ...versions },
    0,
  );
  const entry = upstreams.getEntry("e-1");
  assert.ok(entry);
  context.entry = entry;
  context.now = 0;
  context.results = [];
  context.metrics = RouterMetrics.create();
  context.queues = AdmissionQueues.create({
    upstreams,
    workEstimator: {
      isWorkAware: (name) => name === service,
      getExpectedMilliseconds: () => undefined,
    },
    metrics: context.metrics,
    getFleet: () => ({ daemons: 1, heard: 1 }),
    getNow: () => context.now,
    getRandom: () => 0,
  });
});

/** Adds a request that is counted as running once it is sent. */
function add(context: Context, name: string, changes: Partial<QueuedRequest> = {}): QueuedRequest {
  const common = { priority: 1, team: "", cost: 1, bytes: 1, arrivedAt: context.now };
  const request = { ...common, goalAt: 1_000, sendBy: 2_000, ...changes };
  context.queues.add(service, request, (refusal) => {
    if (refusal === undefined) {
      context.entry.startRequest(context.now);
    }
    context.results.push(`${name} ${refusal?.name ?? "sent"}`);
  });
  return request;
}

async function getWaitingCount({ metrics }: Context): Promise<number | undefined> {
  return (await metrics.waitingRequests.get()).values[0]?.value;
}

test("what is over the slots waits, and goes when an attempt has ended, after the event that ended it", async (context) => {
  for (let count = 0; count < slots; count += 1) {
    add(context, String(count));
  }
  add(context, "bulky", { priority: 2 });
  add(context, "chat");
  assert.equal(context.results.length, slots);
  assert.is(await getWaitingCount(context), 2);
  context.entry.finishRequest(false);
  context.queues.advanceSoon(service);
  context.queues.advanceSoon(service);
  // The retry of the request whose attempt ended.
  context.entry.startRequest(0);
  await Promise.resolve();
  assert.equal(context.results.slice(slots), []);
  context.entry.finishRequest(false);
  context.queues.tick();
  assert.equal(context.results.slice(slots), ["chat sent"]);
  assert.is(await getWaitingCount(context), 1);
});

test("a request that leaves is neither sent nor refused, and its place is free", async (context) => {
  for (let count = 0; count < slots; count += 1) {
    add(context, String(count));
  }
  const leaving = add(context, "leaving");
  context.queues.remove(service, leaving);
  context.queues.remove(service, leaving);
  context.now = 5_000;
  context.queues.tick();
  assert.equal(context.results.slice(slots), []);
  assert.is(await getWaitingCount(context), 0);
});

// Guards against bodies of requests that wait in several queues filling the memory that requests in flight need.
test("bodies of requests that wait are bounded, the least urgent being refused", async (context) => {
  for (let count = 0; count < slots; count += 1) {
    add(context, String(count));
  }
  const bytes = 8_000_000;
  add(context, "bulky", { priority: 2, bytes });
  add(context, "first", { bytes });
  add(context, "second", { bytes });
  assert.equal(context.results.slice(slots), ["bulky queue-full"]);
  const { values } = await context.metrics.queueRefusals.get();
  assert.equal(
    values.map(({ labels, value }) => ({ labels, value })),
    [{ labels: { service, reason: "queue-full" }, value: 1 }],
  );
});

// Guards against requests that left the queue and are never sent, because one before them could not be.
test("a request whose sending fails keeps no other from being sent", (context) => {
  for (let count = 0; count < slots; count += 1) {
    add(context, String(count));
  }
  const failing = {
    priority: 0,
    team: "",
    cost: 1,
    bytes: 1,
    arrivedAt: 0,
    goalAt: 9,
    sendBy: 900,
  };
  context.entry.startRequest(0);
  context.queues.add(service, failing, () => {
    throw new Error("cannot be sent");
  });
  add(context, "next");
  for (let count = 0; count <= slots; count += 1) {
    context.entry.finishRequest(false);
  }
  assert.throws(() => {
    context.queues.tick();
  }, /cannot be sent/);
  assert.equal(context.results.slice(slots), ["next sent"]);
});

test("a request whose time is over is refused at the next tick", (context) => {
  for (let count = 0; count < slots; count += 1) {
    add(context, String(count));
  }
  add(context, "late", { sendBy: 300 });
  context.now = 300;
  context.queues.tick();
  assert.equal(context.results.slice(slots), ["late queue-too-long"]);
});

test.run();
