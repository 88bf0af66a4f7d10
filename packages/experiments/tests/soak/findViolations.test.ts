import { findViolations, getBody, getStream, type Evidence } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("soak: findViolations");

type Call = Evidence["calls"][number];
type Run = Evidence["runs"][number];
type Disturbance = Evidence["disturbances"][number];

const kill = { name: "kill", target: "r-1", isPlanned: false };
const stop = { name: "stop", target: "r-1", isPlanned: true };

function createCall(fields: Partial<Call> = {}): Call {
  const id = fields.id ?? "q-1";
  return {
    id,
    kind: "act",
    key: "k-1",
    router: "r-1",
    sentAt: 10_000,
    lastByteAt: fields.sentAt ?? 10_000,
    endedAt: 10_050,
    status: 200,
    stamp: `stamp-${id}`,
    body: getBody(id),
    isLeaving: false,
    isWhole: true,
    wasConnected: true,
    ...fields,
  };
}

function createRun(fields: Partial<Run> = {}): Run {
  const software = { zone: "north", softwareVersion: "v1", lastEventId: undefined };
  const run = { id: "q-1", upstream: "u-1", team: "callaloo", key: undefined, startedAt: 10_010 };
  return { ...run, ...software, hasOwnBody: true, ...fields };
}

function getBrokenPromises(part: Partial<Evidence>): string[] {
  const at = { sentAt: 90_000, endedAt: 90_010 };
  const recovered = createCall({ id: "q-last", kind: "read", key: "k-2", ...at });
  const evidence = {
    calls: [recovered, ...(part.calls ?? [])],
    runs: part.runs ?? [],
    refusals: part.refusals ?? [],
    disturbances: part.disturbances ?? [],
    acknowledgements: part.acknowledgements ?? [],
    upstreams: ["u-1", "u-2"],
    unexpectedExits: part.unexpectedExits ?? [],
    halfStarts: part.halfStarts ?? [],
    recoveryDeadlineAt: part.recoveryDeadlineAt ?? 80_000,
  };
  return findViolations(evidence).map(({ promise }) => promise);
}

/** Gets the broken promises of a run at an upstream of a zone that was evacuated at 1,000 and returned at 20,000. */
function getEvacuationFaults(
  startedAt: number,
  part: Partial<Evidence> = {},
  zone = "north",
): string[] {
  const acknowledgements = [
    { kind: "zone-evacuated" as const, name: "north", at: 1_000 },
    { kind: "zone-returned" as const, name: "north", at: 20_000 },
  ];
  const runs = [createRun({ startedAt, zone })];
  return getBrokenPromises({ calls: [createCall()], runs, acknowledgements, ...part });
}

test("finds a request that reaches an evacuated zone later than 5 s after, until the zone returns", () => {
  assert.equal(
    [5_990, 6_010, 19_990, 20_010].map((startedAt) => getEvacuationFaults(startedAt)),
    [[], ["evacuated-zones"], ["evacuated-zones"], []],
  );
  assert.equal(getEvacuationFaults(10_000, {}, "south"), []);
});

// Guards against a check that excuses a router for the rest of the run once it was disturbed.
test("counts the 5 s from the end of a disturbance of the router or the store, not of another router", () => {
  const getFaults = (disturbance: Partial<Disturbance>) =>
    [8_900, 9_100].map((startedAt) =>
      getEvacuationFaults(startedAt, {
        disturbances: [{ ...kill, from: 2_000, until: 4_000, ...disturbance }],
      }),
    );
  const late = ["evacuated-zones"];
  assert.equal(
    [{}, { target: "store" }, { target: "r-2" }, { isPlanned: true }, { until: Infinity }].map(
      getFaults,
    ),
    [
      [[], late],
      [[], late],
      [late, late],
      [late, late],
      [[], []],
    ],
  );
});

// Guards against blame for a router whose request a peer without contact sent on.
test("counts from the end of the disturbance of any router while upstreams cannot be reached", () => {
  const other = { ...kill, target: "r-2", from: 2_000, until: 4_000 };
  const cut = { name: "upstream-cut", target: "u-2", isPlanned: false, from: 7_000, until: 8_000 };
  assert.equal(
    [8_900, 9_100].map((startedAt) =>
      getEvacuationFaults(startedAt, { disturbances: [other, cut] }),
    ),
    [[], ["evacuated-zones"]],
  );
});

test("finds nothing for complete responses with one run each", () => {
  const stream = createCall({ id: "q-2", kind: "stream", body: getStream("q-2", "u-1") });
  const runs = [createRun(), createRun({ id: "q-2" })];
  assert.equal(getBrokenPromises({ calls: [createCall(), stream], runs }), []);
});

test("finds a stream that goes on at another software version, and none that only began again", () => {
  const stream = createCall({ kind: "stream", body: getStream("q-1", "u-1") });
  const begun = createRun();
  const again = createRun({ softwareVersion: "v2", upstream: "u-2" });
  const resumed = { ...again, lastEventId: "3" };
  assert.equal(getBrokenPromises({ calls: [stream], runs: [begun, again] }), []);
  assert.equal(getBrokenPromises({ calls: [stream], runs: [begun, resumed] }), [
    "streams-at-one-version",
  ]);
});

test("finds an act that ran twice, and a refusal of an act that ran", () => {
  const runs = [createRun(), createRun({ upstream: "u-2" })];
  assert.equal(getBrokenPromises({ calls: [createCall()], runs }), ["at-most-once"]);
  const refused = createCall({ status: 503, isWhole: true });
  assert.equal(getBrokenPromises({ calls: [refused], runs: [createRun()] }), ["not-run-true"]);
});

test("finds the response to another request, and a truncated one that looks complete", () => {
  const other = createCall({ body: getBody("q-9") });
  const truncated = createCall({ body: getBody("q-1").slice(0, 50) });
  const unstamped = createCall({ stamp: "" });
  assert.equal(
    getBrokenPromises({ calls: [other, truncated, unstamped] }),
    Array(3).fill("answers-whole"),
  );
});

test("finds a stream that repeats an event, or ends properly before its last event", () => {
  const whole = getStream("q-1", "u-1");
  const events = whole.split(/(?=id: )/);
  const repeated = [events[0], events[0], ...events.slice(1)].join("");
  const stream = { kind: "stream" as const };
  const calls = [
    createCall({ ...stream, body: repeated }),
    createCall({ ...stream, body: events.slice(0, 3).join("") }),
    createCall({ ...stream, body: events.slice(0, 3).join(""), isWhole: false }),
  ];
  assert.equal(getBrokenPromises({ calls, runs: [createRun()] }), [
    "streams-in-order",
    "streams-in-order",
  ]);
});

test("finds a revoked key that is accepted too long, whatever the disturbances", () => {
  const disturbances: Disturbance[] = [{ ...kill, from: 0, until: 20_000 }];
  const calls = [createCall()];
  const runs = [createRun()];
  const getAt = (at: number) =>
    getBrokenPromises({
      calls,
      runs,
      disturbances,
      acknowledgements: [{ kind: "key-revoked", name: "k-1", at }],
    });
  assert.equal([getAt(4_999), getAt(5_001)], [["revoked-keys"], []]);
});

test("finds a run on a draining upstream only if its router is undisturbed", () => {
  const acknowledgements = [{ kind: "upstream-draining" as const, name: "u-1", at: 7_000 }];
  const part = { calls: [createCall()], runs: [createRun()], acknowledgements };
  const disturbances: Disturbance[] = [{ ...kill, from: 5_000, until: 5_500 }];
  assert.equal(getBrokenPromises(part), ["draining"]);
  assert.equal(getBrokenPromises({ ...part, disturbances }), []);
});

test("finds a request that a planned stop cuts off, not one sent during the close", () => {
  const disturbances: Disturbance[] = [{ ...stop, from: 9_000, until: 11_000 }];
  const cut = createCall({ status: 0, body: "", isWhole: false, endedAt: 10_100 });
  assert.equal(getBrokenPromises({ calls: [cut], runs: [createRun()], disturbances }), [
    "planned-stop",
  ]);
  assert.equal(getBrokenPromises({ calls: [cut], disturbances }), []);
  const killed: Disturbance[] = [...disturbances, { ...kill, from: 9_500, until: 9_600 }];
  assert.equal(getBrokenPromises({ calls: [cut], runs: [createRun()], disturbances: killed }), []);
});

// Guards against a planned stop being blamed for a call that was cut at its deadline while the soak did not run.
test("takes a stall of the soak for a disturbance of its store and upstreams", () => {
  const stalled = { name: "soak-stalled", target: "store", isPlanned: false };
  const disturbances: Disturbance[] = [{ ...stop, from: 9_000, until: 11_000 }];
  const cut = createCall({ status: 0, body: "", isWhole: false, endedAt: 10_100 });
  const getBroken = (from: number, until: number): string[] =>
    getBrokenPromises({
      calls: [cut],
      runs: [createRun(), createRun()],
      disturbances: [...disturbances, { ...stalled, from, until }],
    });
  assert.equal(getBroken(10_050, 10_090), ["at-most-once"]);
  assert.equal(getBroken(6_000, 6_900), ["at-most-once", "planned-stop"]);
});

test("finds a late request that a planned stop cuts off, not one whose body was still due", () => {
  const disturbances: Disturbance[] = [{ ...stop, from: 9_000, until: 20_000 }];
  const sent = { kind: "late" as const, status: 0, body: "", isWhole: false };
  const getAt = (lastByteAt: number | undefined): string[] =>
    getBrokenPromises({
      calls: [createCall({ ...sent, lastByteAt, endedAt: 16_000 })],
      disturbances,
    });
  assert.equal([getAt(15_700), getAt(15_900), getAt(undefined)], [["planned-stop"], [], []]);
});

// Guards against checks that take minutes, so that a run of the soak seems to hang.
test("checks a run with many calls and announcements in seconds", () => {
  const count = 3_000;
  const numbers = Array.from({ length: count }, (_, number) => number);
  const calls = numbers.map((number) => {
    const at = { sentAt: 10_000 + 10 * number, endedAt: 10_005 + 10 * number };
    return createCall({ id: `q-${String(number)}`, isLeaving: number < count / 2, ...at });
  });
  // The first half of the calls runs at upstreams that leave, and the second half at one that stays.
  const runs = calls.map(({ id, isLeaving }) =>
    createRun({ id, upstream: isLeaving ? id : "u-1" }),
  );
  const from = performance.now();
  assert.equal(getBrokenPromises({ calls, runs }), []);
  assert.ok(performance.now() - from < 10_000);
});

test("finds a router that exits by itself, a wrong team, a changed body, and a missing recovery", () => {
  assert.equal(getBrokenPromises({ unexpectedExits: ["r-2"] }), ["own-ends"]);
  const runs = [createRun({ team: "other" }), createRun({ key: "k-1" })];
  assert.equal(getBrokenPromises({ runs }), ["teams", "teams"]);
  assert.equal(getBrokenPromises({ runs: [createRun({ hasOwnBody: false })] }), ["bodies-whole"]);
  assert.equal(getBrokenPromises({ recoveryDeadlineAt: 95_000 }), ["recovery"]);
});

test("finds a router that is cut from its upstreams and serves far less than the others, from 1 s on", () => {
  const cut = { name: "router-cut-from-upstreams", target: "r-1", isPlanned: false };
  const disturbances: Disturbance[] = [{ ...cut, from: 10_000, until: 20_000 }];
  const getCalls = (router: string, served: number, sentAt: number): Call[] =>
    Array.from({ length: 40 }, (_, index) => {
      const id = `${router}-${String(index)}`;
      const outcome = { status: index < served ? 200 : 503, isWhole: true, body: getBody(id) };
      return createCall({ id, kind: "read", router, sentAt, endedAt: sentAt + 50, ...outcome });
    });
  const getAt = (served: number, sentAt: number): string[] => {
    const calls = [...getCalls("r-1", served, sentAt), ...getCalls("r-2", 40, sentAt)];
    return getBrokenPromises({ calls, disturbances });
  };
  assert.equal([getAt(31, 11_000), getAt(32, 11_000)], [["partitioned-routers"], []]);
  assert.equal([getAt(0, 10_999), getAt(0, 20_000)], [[], []]);
  const restarted: Disturbance[] = [...disturbances, { ...kill, from: 11_000, until: 11_100 }];
  const calls = [...getCalls("r-1", 0, 11_050), ...getCalls("r-2", 40, 11_050)];
  assert.equal(getBrokenPromises({ calls, disturbances: restarted }), []);
});

test("finds a call that reached a leaving upstream, unless its router was interrupted since", () => {
  const announcing = createCall({ isLeaving: true });
  const late = createCall({ id: "q-2", sentAt: 12_100, endedAt: 12_150 });
  const runs = [createRun(), createRun({ id: "q-2", startedAt: 12_110 })];
  const calls = [announcing, late];
  assert.equal(getBrokenPromises({ calls, runs }), ["leaving"]);
  const disturbances = [{ ...kill, from: 11_000, until: 11_500 }];
  assert.equal(getBrokenPromises({ calls, runs, disturbances }), []);
  const soon = createCall({ id: "q-2", sentAt: 12_000, endedAt: 12_050 });
  assert.equal(getBrokenPromises({ calls: [announcing, soon], runs }), []);
});

// Guards against an upstream being blamed that lost a call to one that answered it and announced that it leaves.
test("takes the upstream that answered for the one that leaves", () => {
  const announcing = createCall({ kind: "read", isLeaving: true });
  const late = createCall({ id: "q-2", sentAt: 12_100, endedAt: 12_150 });
  const lost = createRun({ upstream: "u-2" });
  const answering = createRun({ upstream: "u-3", startedAt: 10_030 });
  const getFor = (upstream: string): string[] => {
    const run = createRun({ id: "q-2", upstream, startedAt: 12_110 });
    return getBrokenPromises({ calls: [announcing, late], runs: [lost, answering, run] });
  };
  assert.equal([getFor("u-2"), getFor("u-3")], [[], ["leaving"]]);
});

test("finds requests to a resting upstream from the router that it had asked for a rest", () => {
  const ids = ["q-1", "q-2", "q-3", "q-4"];
  const calls = ids.map((id) => createCall({ id, status: 503 }));
  const createRefusals = (at: number) =>
    ids.map((id, index) => ({
      id,
      upstream: "u-1",
      at: index === 0 ? 10_000 : at,
      restEndsAt: index === 0 ? 11_600 : at + 1_600,
    }));
  assert.equal(getBrokenPromises({ calls, refusals: createRefusals(10_600) }), ["rest"]);
  assert.equal(getBrokenPromises({ calls, refusals: createRefusals(10_400) }), []);
  assert.equal(getBrokenPromises({ calls, refusals: createRefusals(11_700) }), []);
});

// Guards against routers that start half and go on so, while the others serve (FAULT).
test("finds a router that runs half after the end, and one that does not serve", () => {
  assert.equal(getBrokenPromises({ halfStarts: ['router "r-2" is not ready'] }), ["whole-starts"]);
  const getCalls = (served: number): Call[] =>
    Array.from({ length: 100 }, (_, index) => {
      const isServed = index < served;
      const id = `q-${String(index + 10)}`;
      const router = index < 90 ? "r-3" : "r-2";
      const outcome = { status: isServed ? 200 : 0, isWhole: isServed, body: getBody(id) };
      return createCall({ id, kind: "read", router, sentAt: 90_000, endedAt: 90_050, ...outcome });
    });
  assert.equal(
    [getBrokenPromises({ calls: getCalls(94) }), getBrokenPromises({ calls: getCalls(95) })],
    [["whole-starts"], []],
  );
});

test.run();
