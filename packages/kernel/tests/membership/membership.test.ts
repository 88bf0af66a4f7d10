import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  getHealthReports,
  packHealthReports,
  parseHealthReports,
  type HostGuard,
  type HealthReport,
  type Observation,
} from "@pistachioway/kernel";
import { createHost, Harness, start } from "./harness.js";

const test = suite("membership");

test("uses no host at the start until it has been checked", () => {
  const harness = Harness.create();
  assert.is(harness.getCandidates(), "wait");
  harness.advance(250);
  assert.equal(harness.getEffectKinds(), ["probe", "probe", "probe", "probe"]);
  harness.observe("e2", "loadReport", start + 250);
  assert.is(harness.getCandidates(), "e2");
  harness.observe("e3", "answered");
  assert.is(harness.getState("e3"), "e3 suspect unchecked");
});

test("keeps its hosts when lists are empty, older or incomplete", () => {
  const harness = Harness.createChecked();
  harness.list(2, []).list(0, [createHost("e1", "a", { state: "leaving" })]);
  assert.is(harness.getCandidates(), "e1 e2 e3 e4");
  harness.freeze(10).list(3, [createHost("e1", "a")]);
  assert.equal(harness.getStates(), [
    "e1 eligible ok",
    "e2 suspect delisted",
    "e3 suspect delisted",
    "e4 suspect delisted",
  ]);
  assert.is(harness.observe("e2", "healthy").getState("e2"), "e2 eligible ok");
});

test("excludes a leaving host immediately, even if the list says that it is live", () => {
  const harness = Harness.createChecked().observe("e1", "leaving");
  assert.is(harness.getState("e1"), "e1 leaving said-leaving");
  harness.list(2, [createHost("e1", "a"), createHost("e2", "a")]);
  harness.observe("e1", "loadReport").observe("e1", "answered");
  assert.is(harness.getState("e1"), "e1 leaving said-leaving");
});

test("uses a leaving engine again after a restart or when it stays healthy for long enough", () => {
  const harness = Harness.createChecked().observe("e1", "loadReport", start, 100);
  harness.observe("e1", "leaving", start, 100).observe("e1", "loadReport", start, 200);
  assert.is(harness.getState("e1"), "e1 eligible ok");
  harness.observe("e2", "leaving").advance(2_750).observe("e2", "healthy");
  assert.is(harness.getState("e2"), "e2 leaving said-leaving");
  harness.advance(500).observe("e2", "healthy");
  assert.is(harness.getState("e2"), "e2 eligible ok");
});

test("a host that the list marks as leaving stays excluded until it restarts", () => {
  const harness = Harness.createChecked().observe("e1", "loadReport", start, 100);
  harness.list(2, [createHost("e1", "a", { state: "leaving" })]).advance(5_000);
  harness.observe("e1", "healthy");
  assert.is(harness.getState("e1"), "e1 leaving listed-leaving");
  harness.observe("e1", "healthy", harness.now, 200);
  assert.is(harness.getState("e1"), "e1 eligible ok");
});

test("a peer's newer list counts when this daemon cannot reach the platform", () => {
  const report = { host: "e1", state: "listedLeaving", version: 5, incarnation: 0 } as const;
  const harness = Harness.createChecked().send({ kind: "peerHealthReport", from: "d2", ...report });
  assert.is(harness.advance(5_000).getState("e1"), "e1 leaving listed-leaving");
  harness.list(5, [createHost("e1", "a")]).observe("e1", "healthy");
  assert.is(harness.getState("e1"), "e1 eligible ok");
});

test("excludes a host after consecutive failed connections until it answers again", () => {
  const harness = Harness.createChecked().observe("e1", "connectFailed");
  assert.is(harness.getState("e1"), "e1 suspect connect-failed");
  assert.is(harness.observe("e1", "connectFailed").getState("e1"), "e1 down connect-failed");
  harness.observe("e1", "loadReport", start - 1_000);
  assert.is(harness.getState("e1"), "e1 down connect-failed");
  assert.is(harness.observe("e1", "answered").getState("e1"), "e1 eligible ok");
});

test("damps a flapping host until its penalty has decayed", () => {
  const harness = Harness.createChecked();
  for (let flap = 0; flap < 3; flap += 1) {
    harness.advance(1_000).observe("e1", "connectFailed").observe("e1", "connectFailed");
    harness.observe("e1", "healthy");
  }
  assert.is(harness.getState("e1"), "e1 damped flapping");
  assert.is(harness.state.hosts.get("e1")?.reuseAt, start + 1_000 + 20_000);
  harness.advance(17_750).observe("e1", "healthy");
  assert.is(harness.getState("e1"), "e1 damped flapping");
  assert.is(harness.advance(250).getState("e1"), "e1 eligible ok");
});

test("down reports of peers make hosts of the own zone suspect and hosts of other zones down", () => {
  const harness = Harness.createChecked();
  for (const from of ["d2", "d3"]) {
    for (const host of ["e1", "e2", "e3"]) {
      const report = { host, state: "down", version: start + 1, incarnation: 0 } as const;
      harness.send({ kind: "peerHealthReport", from, ...report });
    }
  }
  assert.equal(harness.getStates(), [
    "e1 suspect reported-down",
    "e2 suspect reported-down",
    "e3 down reported-down",
    "e4 eligible ok",
  ]);
  harness.freeze(10).observe("e1", "answered");
  assert.is(harness.getState("e1"), "e1 eligible ok");
});

test("excludes an unreachable zone until one of its hosts answers", () => {
  const harness = Harness.createChecked({ e1: "a", e2: "b", e3: "b", e4: "b", e5: "b" });
  harness.freeze(10);
  for (const host of ["e2", "e3", "e4"]) {
    harness.observe(host, "connectFailed");
  }
  assert.is(harness.getState("e5"), "e5 down zone-unreachable");
  assert.is(harness.freeze(10).observe("e2", "answered").getState("e5"), "e5 eligible ok");
});

test("falls back to suspect and down hosts when none is eligible, but never to a leaving one", () => {
  const harness = Harness.createChecked().observe("e1", "leaving").freeze(1);
  harness.observeAll("connectFailed");
  assert.is(harness.getCandidates(), "e2 e3 e4");
  harness.observe("e2", "connectFailed").observe("e3", "connectFailed");
  assert.is(harness.getCandidates(), "e4");
  assert.is(harness.observe("e4", "connectFailed").getCandidates(), "e2 e3 e4");
});

test("uses no host after a pause until it has been checked again", () => {
  const harness = Harness.createChecked().advance(1_000).freeze(30_000);
  assert.is(harness.getCandidates(), "wait");
  harness.observe("e1", "loadReport", harness.now - 20_000);
  assert.equal(harness.getEffectKinds(), ["refresh", "changed"]);
  assert.is(harness.getCandidates(), "wait");
  const report = { host: "e2", state: "alive", version: harness.now, incarnation: 0 } as const;
  harness.send({ kind: "peerHealthReport", from: "d2", ...report });
  assert.is(harness.getCandidates(), "e2");
});

test("probes a leaving host itself when no reports about it arrive any more", () => {
  const harness = Harness.createChecked();
  harness.state.probeShare = new Set();
  const report = { host: "e1", state: "leaving", version: start, incarnation: 0 } as const;
  harness.send({ kind: "peerHealthReport", from: "d2", ...report }).advance(29_750);
  assert.not(harness.getEffectKinds().includes("probe"));
  assert.ok(harness.advance(30_250).getEffectKinds().includes("probe"));
  harness.observe("e1", "healthy");
  assert.is(harness.getState("e1"), "e1 eligible ok");
});

test("one peer's reports make all hosts checked after a pause, but do not clear a leaving report", () => {
  const peer = Harness.createChecked().advance(30_000);
  const harness = Harness.createChecked().observe("e1", "leaving").freeze(29_900);
  harness.send({ kind: "tick", at: harness.now });
  for (const report of getHealthReports(peer.state)) {
    harness.send({ kind: "peerHealthReport", from: "d2", ...report });
  }
  assert.equal(harness.getStates(), [
    "e1 leaving said-leaving",
    "e2 eligible ok",
    "e3 eligible ok",
    "e4 eligible ok",
  ]);
});

test("reports to its peers when a damped host is used again", () => {
  const harness = Harness.createChecked();
  for (let flap = 0; flap < 3; flap += 1) {
    harness.observe("e1", "connectFailed").observe("e1", "connectFailed");
    harness.observe("e1", "healthy");
  }
  const reported: string[] = [];
  for (let tick = 0; tick < 100; tick += 1) {
    harness.observe("e1", "healthy").advance(250);
    const reports = harness.effects.flatMap((effect) =>
      effect.kind === "gossip" ? effect.reports : [],
    );
    reported.push(...reports.map((report) => `${report.host} ${report.state}`));
  }
  assert.equal(reported.slice(-2), ["e1 alive", "e1 alive"]);
});

test("each guard can be switched off", () => {
  const createWithout = (guard: HostGuard): Harness => Harness.createChecked(undefined, [guard]);
  const pauseCheck = createWithout("host-pause-check").freeze(30_000);
  const ownObservation = createWithout("host-own-sign").observe("e1", "leaving");
  const listOrder = createWithout("host-list-order").list(0, []);
  const gossip = createWithout("host-sign-spread").observe("e1", "leaving").advance(250);
  assert.equal(
    [pauseCheck.getCandidates(), ownObservation.getCandidates(), listOrder.getCandidates()],
    ["e1 e2 e3 e4", "e1 e2 e3 e4", "none"],
  );
  assert.not(gossip.getEffectKinds().includes("gossip"));
  const guarded = Harness.createChecked().observe("e1", "leaving").advance(250);
  assert.ok(guarded.getEffectKinds().includes("gossip"));
});

test("packs health reports and leaves out malformed ones when parsing", () => {
  const reports: HealthReport[] = [
    { host: "e1", state: "leaving", version: start, incarnation: 7 },
    { host: "e2", state: "listedLeaving", version: 12, incarnation: 0 },
  ];
  const packed = packHealthReports(reports);
  assert.equal(packed, ["e1", 1, start, 7, "e2", 2, 12, 0]);
  assert.equal(parseHealthReports([...packed, "e3", 9, 1, 0, 4, 0, 1, 0, "e5", 0]), reports);
  assert.equal(
    [parseHealthReports(null), parseHealthReports("e1"), parseHealthReports({})],
    [[], [], []],
  );
});

const observationArbitrary = fc.constantFrom<Observation>(
  "leaving",
  "healthy",
  "connectFailed",
  "answered",
  "refused",
  "loadReport",
);
const eventArbitrary = fc.record({
  host: fc.constantFrom("e1", "e2", "e3"),
  observation: observationArbitrary,
  reportState: fc.constantFrom<HealthReport["state"]>("alive", "leaving", "listedLeaving", "down"),
  isPeer: fc.boolean(),
  age: fc.integer({ min: -3_000, max: 10_000 }),
  passed: fc.integer({ min: 0, max: 3 }),
});

test("always has candidates and none that is leaving or unchecked, for events in any order", () => {
  const property = fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
    const harness = Harness.createChecked();
    for (const event of events) {
      const { host, age } = event;
      const version = harness.now - age;
      const report = { host, state: event.reportState, version, incarnation: 0 } as const;
      harness.advance(event.passed * 250);
      if (event.isPeer) {
        harness.send({ kind: "peerHealthReport", from: "d2", ...report });
      } else {
        harness.observe(host, event.observation, version);
      }
      const names = harness.getCandidates();
      assert.ok(names !== "none" && names !== "wait");
      const candidates = names.split(" ").map((name) => harness.state.hosts.get(name));
      assert.not(candidates.some((view) => view?.state === "leaving"));
    }
  });
  fc.assert(property, { seed: 11, numRuns: 500 });
});

test("an older report never overrides a newer leaving report, in any order and repeated", () => {
  const older: HealthReport[] = [
    { host: "e1", state: "alive", version: start + 2_000, incarnation: 3 },
    { host: "e1", state: "alive", version: start + 9_000, incarnation: 2 },
    { host: "e1", state: "leaving", version: start - 5_000, incarnation: 3 },
    { host: "e1", state: "leaving", version: start, incarnation: 3 },
    { host: "e1", state: "down", version: start - 10, incarnation: 3 },
  ];
  const orders = fc.shuffledSubarray([...older, ...older], { minLength: 1, maxLength: 10 });
  const property = fc.property(orders, (reports) => {
    const harness = Harness.createChecked().observe("e1", "leaving", start, 3);
    reports.forEach((report) => harness.send({ kind: "peerHealthReport", from: "d2", ...report }));
    assert.is(harness.getState("e1"), "e1 leaving said-leaving");
  });
  fc.assert(property, { seed: 13, numRuns: 300 });
});

test.run();
