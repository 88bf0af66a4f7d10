import { findViolations, getBody, getStream, type Evidence } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("soak: findViolations");

type Call = Evidence["calls"][number];
type Run = Evidence["runs"][number];
type Disturbance = Evidence["disturbances"][number];

const kill = { name: "kill", target: "r-1", isPlanned: false };
const stop = { name: "stop", target: "r-1", isPlanned: true };

function createCall(part: Partial<Call> = {}): Call {
  const id = part.id ?? "q-1";
  return {
    id,
    kind: "act",
    key: "k-1",
    router: "r-1",
    sentAt: 10_000,
    endedAt: 10_050,
    status: 200,
    stamp: `stamp-${id}`,
    body: getBody(id),
    isWhole: true,
    wasConnected: true,
    ...part,
  };
}

function createRun(part: Partial<Run> = {}): Run {
  const run = { id: "q-1", upstream: "u-1", team: "callaloo", key: undefined, startedAt: 10_010 };
  return { ...run, ...part };
}

function getBroken(part: Partial<Evidence>): string[] {
  const at = { sentAt: 90_000, endedAt: 90_010 };
  const recovered = createCall({ id: "q-last", kind: "read", key: "k-2", ...at });
  const evidence = {
    calls: [recovered, ...(part.calls ?? [])],
    runs: part.runs ?? [],
    disturbances: part.disturbances ?? [],
    acknowledgements: part.acknowledgements ?? [],
    upstreams: ["u-1", "u-2"],
    unexpectedExits: part.unexpectedExits ?? [],
    recoveryDeadlineAt: part.recoveryDeadlineAt ?? 80_000,
  };
  return findViolations(evidence).map(({ promise }) => promise);
}

test("holds for whole answers with one run each", () => {
  const stream = createCall({ id: "q-2", kind: "stream", body: getStream("q-2") });
  assert.equal(getBroken({ calls: [createCall(), stream], runs: [createRun()] }), []);
});

test("breaks for an act that runs twice, and for a refusal of an act that ran", () => {
  const runs = [createRun(), createRun({ upstream: "u-2" })];
  assert.equal(getBroken({ calls: [createCall()], runs }), ["at-most-once"]);
  const refused = createCall({ status: 503, isWhole: true });
  assert.equal(getBroken({ calls: [refused], runs: [createRun()] }), ["not-run-true"]);
});

test("breaks for the answer to another request, and for a torn one that looks whole", () => {
  const other = createCall({ body: getBody("q-9") });
  const torn = createCall({ body: getBody("q-1").slice(0, 50) });
  const unstamped = createCall({ stamp: "" });
  assert.equal(getBroken({ calls: [other, torn, unstamped] }), Array(3).fill("answers-whole"));
});

test("breaks for a stream that repeats a piece, or ends in order before its last", () => {
  const whole = getStream("q-1");
  const pieces = whole.split(/(?=id: )/);
  const repeated = [pieces[0], pieces[0], ...pieces.slice(1)].join("");
  const stream = { kind: "stream" as const };
  const calls = [
    createCall({ ...stream, body: repeated }),
    createCall({ ...stream, body: pieces.slice(0, 3).join("") }),
    createCall({ ...stream, body: pieces.slice(0, 3).join(""), isWhole: false }),
  ];
  assert.equal(getBroken({ calls }), ["streams-in-order", "streams-in-order"]);
});

test("breaks for a revoked key that runs later than its time, whatever disturbs", () => {
  const disturbances: Disturbance[] = [{ ...kill, from: 0, until: 20_000 }];
  const calls = [createCall()];
  const runs = [createRun()];
  const getAt = (at: number) =>
    getBroken({
      calls,
      runs,
      disturbances,
      acknowledgements: [{ kind: "key-revoked", name: "k-1", at }],
    });
  assert.equal([getAt(4_999), getAt(5_001)], [["revoked-keys"], []]);
});

test("breaks for a run at a leaving upstream by a calm router only", () => {
  const acknowledgements = [{ kind: "upstream-draining" as const, name: "u-1", at: 7_000 }];
  const part = { calls: [createCall()], runs: [createRun()], acknowledgements };
  const disturbances: Disturbance[] = [{ ...kill, from: 5_000, until: 5_500 }];
  assert.equal(getBroken(part), ["draining"]);
  assert.equal(getBroken({ ...part, disturbances }), []);
});

test("breaks for a request that a planned stop cuts off, not for one that crosses its end", () => {
  const disturbances: Disturbance[] = [{ ...stop, from: 9_000, until: 11_000 }];
  const cut = createCall({ status: 0, body: "", isWhole: false, endedAt: 10_100 });
  assert.equal(getBroken({ calls: [cut], runs: [createRun()], disturbances }), ["planned-stop"]);
  assert.equal(getBroken({ calls: [cut], disturbances }), []);
  const killed: Disturbance[] = [...disturbances, { ...kill, from: 9_500, until: 9_600 }];
  assert.equal(getBroken({ calls: [cut], runs: [createRun()], disturbances: killed }), []);
});

test("breaks for a router that ends by itself, a wrong team, and no recovery", () => {
  assert.equal(getBroken({ unexpectedExits: ["r-2"] }), ["own-ends"]);
  const runs = [createRun({ team: "other" }), createRun({ key: "k-1" })];
  assert.equal(getBroken({ runs }), ["teams", "teams"]);
  assert.equal(getBroken({ recoveryDeadlineAt: 95_000 }), ["recovery"]);
});

test.run();
