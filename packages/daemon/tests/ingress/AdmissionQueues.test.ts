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
  /** Messages of what listeners threw. */
  failures: string[];
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
  context.failures = [];
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
    onFailed: (error) => {
      context.failures.push(String(error));
    },
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

/** Fills the slots and adds a request that waits and whose sending will fail. */
function addFailing(context: Context): void {
  for (let count = 0; count < slots; count += 1) {
    add(context, String(count));
  }
  const common = { priority: 0, team: "", cost: 1, bytes: 1, arrivedAt: 0 };
  context.entry.startRequest(0);
  context.queues.add(service, { ...common, goalAt: 9, sendBy: 900 }, () => {
    throw new Error("cannot be sent");
  });
}

function finishAll({ entry }: Context): void {
  for (let count = 0; count <= slots; count += 1) {
    entry.finishRequest(false);
  }
}

// Guards against requests that left the queue and are never sent, because one before them could not be.
test("a request whose sending fails keeps no other from being sent", (context) => {
  addFailing(context);
  add(context, "next");
  finishAll(context);
  context.queues.tick();
  assert.equal(context.results.slice(slots), ["next sent"]);
  assert.equal(context.failures, ["Error: cannot be sent"]);
});

// Guards against a request that is answered as failed and is sent nevertheless, because another could not be.
test("a request is added without the failure of one that waited", (context) => {
  addFailing(context);
  finishAll(context);
  add(context, "added");
  assert.equal(context.results.slice(slots), ["added sent"]);
  assert.equal(context.failures, ["Error: cannot be sent"]);
});

// Guards against the end of the process by an error that nothing catches.
test("a failure after the end of an attempt is reported", async (context) => {
  addFailing(context);
  finishAll(context);
  context.queues.advanceSoon(service);
  await Promise.resolve();
  assert.equal(context.failures, ["Error: cannot be sent"]);
});

test("a request whose own sending fails at once throws", (context) => {
  const common = { priority: 0, team: "", cost: 1, bytes: 1, arrivedAt: 0 };
  assert.throws(() => {
    context.queues.add(service, { ...common, goalAt: 9, sendBy: 900 }, () => {
      throw new Error("cannot be sent");
    });
  }, /cannot be sent/);
  assert.equal(context.failures, []);
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
