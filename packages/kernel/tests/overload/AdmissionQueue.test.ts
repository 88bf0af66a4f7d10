import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  AdmissionQueue,
  CapacityShare,
  getUsableUpstreams,
  type AdmissionView,
  type QueueAction,
  type QueuedRequest,
  type ServiceCapacity,
} from "@pistachioway/kernel";
import { createTable } from "../upstreams/samples.js";

function createRequest(changes: Partial<QueuedRequest> = {}): QueuedRequest {
  return {
    priority: 1,
    team: "",
    cost: 1,
    bytes: 10,
    arrivedAt: 0,
    goalAt: 1_000,
    sendBy: 5_000,
    ...changes,
  };
}

function createCapacity(changes: Partial<ServiceCapacity> = {}): ServiceCapacity {
  return { slots: 100, taken: 0, running: 0, waiting: 0, reports: 0, reportedUse: 0, ...changes };
}

/** A daemon of ten whose even part of the slots is taken, as are those of the others. */
function createFullView(now = 0, running = 12): AdmissionView {
  const capacity = createCapacity({ taken: 120, running });
  return { capacity, fleet: { daemons: 10, heard: 10 }, now };
}

function createQueue(
  getQueuedMilliseconds = (): number => 0,
  freeBytes = Infinity,
): AdmissionQueue {
  const queue = AdmissionQueue.create({
    getQueuedMilliseconds,
    getFreeBytes: () => freeBytes - queue.getBytes(),
  });
  return queue;
}

function describe(actions: readonly QueueAction[]): readonly unknown[] {
  return actions.map((action) => [
    action.kind === "send" ? "send" : action.reason,
    action.request.team || action.request.priority,
    ...(action.kind === "send" ? [] : [Math.round(action.retryAt)]),
  ]);
}

/** Adds requests while everything is taken, and gets the order in which they are sent. */
function getOrder(requests: readonly QueuedRequest[], now = 0): readonly number[] {
  const queue = createQueue();
  requests.forEach((request) => queue.add(request, createFullView(now)));
  const capacity = createCapacity();
  const actions = queue.advance({ capacity, fleet: { daemons: 1, heard: 1 }, now });
  return actions.map(({ request }) => requests.indexOf(request));
}

const test = suite("admission queue");

test("orders by priority, then by what can meet its objective, then by deadline", () => {
  const order = getOrder(
    [
      createRequest({ priority: 2, sendBy: 1_000 }),
      createRequest({ sendBy: 4_000 }),
      createRequest({ sendBy: 3_000 }),
      createRequest({ sendBy: 900, goalAt: 400 }),
      createRequest({ priority: 0 }),
    ],
    500,
  );
  assert.equal(order, [4, 2, 1, 3, 0]);
});

test("teams of one priority take turns by the work that they were served", () => {
  const order = getOrder([
    createRequest({ team: "a", cost: 10 }),
    createRequest({ team: "a", cost: 10 }),
    createRequest({ team: "b", cost: 5 }),
    createRequest({ team: "b", cost: 5 }),
    createRequest({ team: "b", cost: 5 }),
  ]);
  assert.equal(order, [0, 2, 3, 1, 4]);
});

test("nothing is held or refused while much is free, not even what comes too late", () => {
  const queue = createQueue(undefined, 0);
  const capacity = createCapacity({ taken: 49, running: 49 });
  const view = { capacity, fleet: { daemons: 10, heard: 10 }, now: 0 };
  const requests = [createRequest(), createRequest({ sendBy: -1 }), createRequest({ priority: 2 })];
  assert.equal(describe(requests.flatMap((request) => queue.add(request, view))), [
    ["send", 1],
    ["send", 1],
    ["send", 2],
  ]);
});

test("a caller that leaves frees its place, and is not sent later", () => {
  const queue = createQueue();
  const leaving = createRequest();
  queue.add(leaving, createFullView());
  queue.add(createRequest({ priority: 2 }), createFullView());
  queue.remove(leaving);
  queue.remove(leaving);
  assert.equal([queue.getCount(), queue.getBytes()], [1, 10]);
  assert.equal(describe(queue.advance(createFullView(100, 0))), [["send", 2]]);
  assert.equal([queue.getCount(), queue.getBytes()], [0, 0]);
});

test("a request that cannot begin in time is refused at once, the retries of several one after another", () => {
  const queue = createQueue();
  queue.recordEnd(1, 10_000, 0);
  const actions = [0, 1, 2].flatMap(() =>
    queue.add(createRequest({ sendBy: 500 }), createFullView()),
  );
  assert.equal(describe(actions), [
    ["tooLate", 1, 2_106],
    ["tooLate", 1, 3_159],
    ["tooLate", 1, 4_212],
  ]);
});

test("what waits is refused at the tick at which its time is over", () => {
  const queue = createQueue();
  queue.add(createRequest({ sendBy: 300 }), createFullView());
  const refused = [200, 300].map((now) => describe(queue.advance(createFullView(now))));
  assert.equal(refused, [[], [["tooLate", 1, 301]]]);
});

test("a full queue refuses the least urgent, whichever came last", () => {
  const queue = createQueue(undefined, 30);
  const actions = [1, 2, 1, 0, 0].flatMap((priority) =>
    queue.add(createRequest({ priority }), createFullView()),
  );
  assert.equal(
    [describe(actions), queue.getBytes()],
    [
      [
        ["queueFull", 2, 1],
        ["queueFull", 1, 1],
      ],
      30,
    ],
  );
});

test("the less urgent yield to urgent ones while reading is queued, up to their objective", () => {
  const queue = createQueue(() => 200);
  const view = (now: number): AdmissionView => ({
    capacity: createCapacity({ taken: 20, running: 5 }),
    fleet: { daemons: 10, heard: 10 },
    now,
  });
  const urgent = createRequest({ priority: 0, goalAt: 253 });
  const results = [
    queue.add(createRequest({ priority: 2 }), view(0)),
    queue.add(urgent, view(0)),
    queue.add(createRequest({ priority: 2, team: "bulky" }), view(0)),
    queue.advance(view(900)),
    queue.advance(view(1_000)),
  ];
  assert.equal(results.map(describe), [[["send", 2]], [["send", 0]], [], [], [["send", "bulky"]]]);
});

function getLimits(share: CapacityShare): readonly number[] {
  return [0, 1, 2, 9].map((priority) => Math.round(share.getLimit(priority) * 10) / 10);
}

test("a daemon with three times the callers of others borrows what is free", () => {
  const share = CapacityShare.create();
  share.update(createCapacity({ taken: 60, running: 18 }), { daemons: 10, heard: 10 }, 0);
  const borrowing = getLimits(share);
  share.update(createCapacity({ taken: 110, running: 33 }), { daemons: 10, heard: 10 }, 1_000);
  assert.equal(
    [borrowing, getLimits(share)],
    [
      [33, 28.5, 25.5, 25.5],
      [33, 28.5, 25.5, 25.5],
    ],
  );
});

test("borrowers return slots, down to their shares, while the fleet uses more than there are", () => {
  const share = CapacityShare.create();
  const limits = [150, 220, 600].map((taken, second) => {
    share.update(
      createCapacity({ taken, running: 30 }),
      { daemons: 10, heard: 10 },
      second * 1_000,
    );
    return getLimits(share);
  });
  assert.equal(limits, [
    [22, 19, 17, 17],
    [15, 13, 11.6, 11.6],
    [11, 9.5, 8.5, 8.5],
  ]);
});

test("without peers a daemon keeps to its share, unless engines report free slots", () => {
  const fleet = { daemons: 10, heard: 1 };
  const results = [
    createCapacity({ taken: 20, running: 20 }),
    createCapacity({ taken: 20, running: 20, reports: 1, reportedUse: 0.3 }),
    createCapacity({ taken: 20, running: 20, reports: 2, reportedUse: 0.3 }),
    createCapacity({ taken: 20, running: 20, reports: 2, reportedUse: 0.6 }),
  ].map((capacity) => {
    const share = CapacityShare.create();
    share.update(capacity, fleet, 0);
    return [share.isAmple(), getLimits(share)[1]];
  });
  assert.equal(results, [
    [false, 17.3],
    [false, 17.3],
    [true, 63.3],
    [false, 31.7],
  ]);
});

// Guards against a doubt in all paths, which ends within a second, that sends or refuses all that waits.
test("avoided upstreams count while there are no others, closed paths never", () => {
  const table = createTable(3);
  const count = (): number => getUsableUpstreams(table.getEntries(), "engine", 100).length;
  const [first, second, third] = table.getEntries();
  const counts = [count()];
  first?.avoid(0);
  counts.push(count());
  second?.path.recordConnectFailure(0);
  third?.avoid(0);
  counts.push(count());
  assert.equal(counts, [3, 2, 2]);
});

// Guards against an evacuated zone whose slots seem free, so that the others get the requests of all.
test("upstreams of an evacuated zone do not count", () => {
  const table = createTable(3);
  const [first] = table.getEntries();
  if (first !== undefined) {
    first.isEvacuated = true;
  }
  assert.is(getUsableUpstreams(table.getEntries(), "engine", 100).length, 2);
});

test("slots that return count over time, those that are lost at once", () => {
  const share = CapacityShare.create();
  const limits = [300, 200, 300, 300, 300].map((slots, index) => {
    const capacity = createCapacity({ slots, taken: slots * 1.2, running: 1 });
    share.update(capacity, { daemons: 10, heard: 10 }, index * 500);
    return share.getLimit(1);
  });
  assert.equal(limits.map(Math.round), [29, 19, 24, 29, 29]);
});

test.run();
