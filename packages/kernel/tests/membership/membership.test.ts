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

test("waits for a check of each host at the start", () => {
  const harness = Harness.create();
  assert.is(harness.getCandidates(), "wait");
  harness.advance(250);
  assert.equal(harness.getEffectKinds(), ["probe", "probe", "probe", "probe"]);
  harness.observe("e2", "loadReport", start + 250);
  assert.is(harness.getCandidates(), "e2");
  harness.observe("e3", "answered");
  assert.is(harness.getState("e3"), "e3 suspect unchecked");
});

test("keeps its hosts through empty, older and shorter lists", () => {
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

test("stops at a leaving sign at once, whatever the list says", () => {
  const harness = Harness.createChecked().observe("e1", "leaving");
  assert.is(harness.getState("e1"), "e1 leaving said-leaving");
  harness.list(2, [createHost("e1", "a"), createHost("e2", "a")]);
  harness.observe("e1", "loadReport").observe("e1", "answered");
  assert.is(harness.getState("e1"), "e1 leaving said-leaving");
});

test("takes a leaving engine again after a new start, or signs of life that last", () => {
  const harness = Harness.createChecked().observe("e1", "loadReport", start, 100);
  harness.observe("e1", "leaving", start, 100).observe("e1", "loadReport", start, 200);
  assert.is(harness.getState("e1"), "e1 eligible ok");
  harness.observe("e2", "leaving").advance(2_750).observe("e2", "healthy");
  assert.is(harness.getState("e2"), "e2 leaving said-leaving");
  harness.advance(500).observe("e2", "healthy");
  assert.is(harness.getState("e2"), "e2 eligible ok");
});

test("a host that the list says is leaving leaves, until a new start", () => {
  const harness = Harness.createChecked().observe("e1", "loadReport", start, 100);
  harness.list(2, [createHost("e1", "a", { state: "leaving" })]).advance(5_000);
  harness.observe("e1", "healthy");
  assert.is(harness.getState("e1"), "e1 leaving listed-leaving");
  harness.observe("e1", "healthy", harness.now, 200);
  assert.is(harness.getState("e1"), "e1 eligible ok");
});

test("a peer's newer list counts when this daemon is cut from the platform", () => {
  const sign = { host: "e1", state: "listedLeaving", version: 5, incarnation: 0 } as const;
  const harness = Harness.createChecked().send({ kind: "peerHealthReport", from: "d2", ...sign });
  assert.is(harness.advance(5_000).getState("e1"), "e1 leaving listed-leaving");
  harness.list(5, [createHost("e1", "a")]).observe("e1", "healthy");
  assert.is(harness.getState("e1"), "e1 eligible ok");
});

test("excludes a host after failed connections and probes it less and less", () => {
  const harness = Harness.createChecked().observe("e1", "connectFailed");
  assert.is(harness.getState("e1"), "e1 suspect connect-failed");
  assert.is(harness.observe("e1", "connectFailed").getState("e1"), "e1 down connect-failed");
  harness.observe("e1", "loadReport", start - 1_000);
  assert.is(harness.getState("e1"), "e1 down connect-failed");
  assert.is(harness.observe("e1", "answered").getState("e1"), "e1 eligible ok");
});

test("damps a flapping host until an instant", () => {
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

test("hearsay makes hosts of the own zone suspect and others down", () => {
  const harness = Harness.createChecked();
  for (const from of ["d2", "d3"]) {
    for (const host of ["e1", "e2", "e3"]) {
      const sign = { host, state: "down", version: start + 1, incarnation: 0 } as const;
      harness.send({ kind: "peerHealthReport", from, ...sign });
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

test("excludes a cut zone until one of its hosts answers", () => {
  const harness = Harness.createChecked({ e1: "a", e2: "b", e3: "b", e4: "b", e5: "b" });
  harness.freeze(10);
  for (const host of ["e2", "e3", "e4"]) {
    harness.observe(host, "connectFailed");
  }
  assert.is(harness.getState("e5"), "e5 down zone-unreachable");
  assert.is(harness.freeze(10).observe("e2", "answered").getState("e5"), "e5 eligible ok");
});

test("fails open when nothing is eligible, but never to a leaving host", () => {
  const harness = Harness.createChecked().observe("e1", "leaving").freeze(1);
  harness.observeAll("connectFailed");
  assert.is(harness.getCandidates(), "e2 e3 e4");
  harness.observe("e2", "connectFailed").observe("e3", "connectFailed");
  assert.is(harness.getCandidates(), "e4");
  assert.is(harness.observe("e4", "connectFailed").getCandidates(), "e2 e3 e4");
});

test("trusts nothing after a pause until it was checked again", () => {
  const harness = Harness.createChecked().advance(1_000).freeze(30_000);
  assert.is(harness.getCandidates(), "wait");
  harness.observe("e1", "loadReport", harness.now - 20_000);
  assert.equal(harness.getEffectKinds(), ["refresh", "changed"]);
  assert.is(harness.getCandidates(), "wait");
  const sign = { host: "e2", state: "alive", version: harness.now, incarnation: 0 } as const;
  harness.send({ kind: "peerHealthReport", from: "d2", ...sign });
  assert.is(harness.getCandidates(), "e2");
});

test("asks a leaving host itself when nobody speaks of it any more", () => {
  const harness = Harness.createChecked();
  harness.state.probeShare = new Set();
  const sign = { host: "e1", state: "leaving", version: start, incarnation: 0 } as const;
  harness.send({ kind: "peerHealthReport", from: "d2", ...sign }).advance(29_750);
  assert.not(harness.getEffectKinds().includes("probe"));
  assert.ok(harness.advance(30_250).getEffectKinds().includes("probe"));
  harness.observe("e1", "healthy");
  assert.is(harness.getState("e1"), "e1 eligible ok");
});

test("one peer's signs make all hosts current after a pause, and clear no leaving sign", () => {
  const peer = Harness.createChecked().advance(30_000);
  const harness = Harness.createChecked().observe("e1", "leaving").freeze(29_900);
  harness.send({ kind: "tick", at: harness.now });
  for (const sign of getHealthReports(peer.state)) {
    harness.send({ kind: "peerHealthReport", from: "d2", ...sign });
  }
  assert.equal(harness.getStates(), [
    "e1 leaving said-leaving",
    "e2 eligible ok",
    "e3 eligible ok",
    "e4 eligible ok",
  ]);
});

test("tells its peers when a damped host is used again", () => {
  const harness = Harness.createChecked();
  for (let flap = 0; flap < 3; flap += 1) {
    harness.observe("e1", "connectFailed").observe("e1", "connectFailed");
    harness.observe("e1", "healthy");
  }
  const told: string[] = [];
  for (let tick = 0; tick < 100; tick += 1) {
    harness.observe("e1", "healthy").advance(250);
    const signs = harness.effects.flatMap((effect) =>
      effect.kind === "gossip" ? effect.reports : [],
    );
    told.push(...signs.map((sign) => `${sign.host} ${sign.state}`));
  }
  assert.equal(told.slice(-2), ["e1 alive", "e1 alive"]);
});

test("each guard can be switched off", () => {
  const off = (guard: HostGuard): Harness => Harness.createChecked(undefined, [guard]);
  const pauses = off("host-pause-check").freeze(30_000);
  const signs = off("host-own-sign").observe("e1", "leaving");
  const lists = off("host-list-order").list(0, []);
  const spread = off("host-sign-spread").observe("e1", "leaving").advance(250);
  assert.equal(
    [pauses.getCandidates(), signs.getCandidates(), lists.getCandidates()],
    ["e1 e2 e3 e4", "e1 e2 e3 e4", "none"],
  );
  assert.not(spread.getEffectKinds().includes("gossip"));
  const guarded = Harness.createChecked().observe("e1", "leaving").advance(250);
  assert.ok(guarded.getEffectKinds().includes("gossip"));
});

test("packs signs and leaves out what is not well formed", () => {
  const signs: HealthReport[] = [
    { host: "e1", state: "leaving", version: start, incarnation: 7 },
    { host: "e2", state: "listedLeaving", version: 12, incarnation: 0 },
  ];
  const packed = packHealthReports(signs);
  assert.equal(packed, ["e1", 1, start, 7, "e2", 2, 12, 0]);
  assert.equal(parseHealthReports([...packed, "e3", 9, 1, 0, 4, 0, 1, 0, "e5", 0]), signs);
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
  signState: fc.constantFrom<HealthReport["state"]>("alive", "leaving", "listedLeaving", "down"),
  isPeer: fc.boolean(),
  age: fc.integer({ min: -3_000, max: 10_000 }),
  passed: fc.integer({ min: 0, max: 3 }),
});

test("never empties the table and offers no leaving or unchecked host, in any order", () => {
  const property = fc.property(fc.array(eventArbitrary, { maxLength: 60 }), (events) => {
    const harness = Harness.createChecked();
    for (const event of events) {
      const { host, age } = event;
      const version = harness.now - age;
      const sign = { host, state: event.signState, version, incarnation: 0 } as const;
      harness.advance(event.passed * 250);
      if (event.isPeer) {
        harness.send({ kind: "peerHealthReport", from: "d2", ...sign });
      } else {
        harness.observe(host, event.observation, version);
      }
      const names = harness.getCandidates();
      assert.ok(names !== "none" && names !== "wait");
      const offered = names.split(" ").map((name) => harness.state.hosts.get(name));
      assert.not(offered.some((view) => view?.state === "leaving"));
    }
  });
  fc.assert(property, { seed: 11, numRuns: 500 });
});

test("an older sign never overrides a newer leaving sign, in any order and repeated", () => {
  const older: HealthReport[] = [
    { host: "e1", state: "alive", version: start + 2_000, incarnation: 3 },
    { host: "e1", state: "alive", version: start + 9_000, incarnation: 2 },
    { host: "e1", state: "leaving", version: start - 5_000, incarnation: 3 },
    { host: "e1", state: "leaving", version: start, incarnation: 3 },
    { host: "e1", state: "down", version: start - 10, incarnation: 3 },
  ];
  const orders = fc.shuffledSubarray([...older, ...older], { minLength: 1, maxLength: 10 });
  const property = fc.property(orders, (signs) => {
    const harness = Harness.createChecked().observe("e1", "leaving", start, 3);
    signs.forEach((sign) => harness.send({ kind: "peerHealthReport", from: "d2", ...sign }));
    assert.is(harness.getState("e1"), "e1 leaving said-leaving");
  });
  fc.assert(property, { seed: 13, numRuns: 300 });
});

test.run();
