import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  compareRevisions,
  getInForce,
  isReader,
  type Revision,
  type RevisionGuard,
  type RevisionsState,
} from "@pistachioway/kernel";
import { createText, Fleet } from "./Fleet.js";

const test = suite("revisionsPlugin");

test("a revision that one reader receives reaches every daemon", () => {
  const fleet = Fleet.create(4);
  fleet.runRounds(6);
  fleet.platform = { revision: 2, text: createText(1, "second") };
  fleet.answer(0);
  fleet.runRounds(4);
  assert.equal(fleet.describe(), Array(4).fill("1.2 refused none"));
});

test("a refused value leaves the last one in force and is known to every daemon", () => {
  const fleet = Fleet.create(4);
  fleet.runRounds(6);
  fleet.platform = { revision: 2, text: createText(1, "second", false) };
  fleet.runRounds(6);
  assert.equal(fleet.describe(), Array(4).fill("1.1 refused 1.2"));
  fleet.platform = { revision: 3, text: createText(1, "third") };
  fleet.runRounds(6);
  assert.equal(fleet.describe(), Array(4).fill("1.3 refused none"));
});

test("a restored platform is refused until the operator raises the generation", () => {
  const fleet = Fleet.create(2);
  fleet.platform = { revision: 9, text: createText(1, "ninth") };
  fleet.runRounds(6);
  fleet.platform = { revision: 2, text: createText(1, "restored") };
  fleet.runRounds(6);
  assert.equal(fleet.describe(), Array(2).fill("1.9 refused none"));
  assert.ok(fleet.lines.includes("d0 stale 1.2"));
  fleet.platform = { revision: 3, text: createText(2, "raised") };
  fleet.runRounds(6);
  assert.equal(fleet.describe(), Array(2).fill("2.3 refused none"));
});

test("a new generation clears the refusals of earlier generations on every daemon", () => {
  const fleet = Fleet.create(4);
  fleet.platform = { revision: 9, text: createText(1, "ninth") };
  fleet.runRounds(6);
  fleet.platform = { revision: 10, text: createText(1, "tenth", false) };
  fleet.runRounds(6);
  fleet.platform = { revision: 1, text: createText(2, "wiped") };
  fleet.runRounds(6);
  assert.equal(fleet.describe(), Array(4).fill("2.1 refused none"));
});

function restartWithStalePlatform(guards: readonly RevisionGuard[]): string[] {
  const fleet = Fleet.create(3, guards);
  fleet.platform = { revision: 5, text: createText(1, "fifth") };
  fleet.runRounds(6);
  fleet.staleValue = { revision: 3, text: createText(1, "third") };
  fleet.restart(0);
  fleet.lines.length = 0;
  fleet.runRounds(6);
  return fleet.lines.filter((line) => line.startsWith("d0 inForce"));
}

test("a restarted daemon awaits its peers before it uses a value of a stale platform", () => {
  assert.equal(restartWithStalePlatform([]), ["d0 inForce 1.5"]);
  assert.equal(restartWithStalePlatform(["revision-settle"]), ["d0 inForce 1.3", "d0 inForce 1.5"]);
});

test("a daemon without a list of peers waits for it, at most until the settling period ends", () => {
  const fleet = Fleet.create(3);
  fleet.platform = { revision: 5, text: createText(1, "fifth") };
  fleet.runRounds(6);
  fleet.staleValue = { revision: 3, text: createText(1, "third") };
  fleet.restart(0, false);
  fleet.answer(0);
  const [before] = fleet.describe();
  fleet.sendPeers(0);
  fleet.runRounds(2);
  const [after] = fleet.describe();
  fleet.restart(0, false);
  fleet.answer(0);
  fleet.now += 2000;
  fleet.send(0, { kind: "tick" });
  const [afterTimeout] = fleet.describe();
  assert.equal(
    [before, after, afterTimeout],
    ["none refused none", "1.5 refused none", "1.3 refused none"],
  );
});

function runStalePlatform(guards: readonly RevisionGuard[]): string[] {
  const fleet = Fleet.create(1, guards);
  fleet.platform = { revision: 5, text: createText(1, "fifth") };
  fleet.runRounds(6);
  fleet.staleValue = { revision: 3, text: createText(1, "third") };
  fleet.runRounds(6);
  return fleet.describe();
}

test("a lower revision never replaces the one in force", () => {
  assert.equal(runStalePlatform([]), ["1.5 refused none"]);
  assert.equal(runStalePlatform(["revision-order"]), ["1.3 refused none"]);
});

function runConflict(guards: readonly RevisionGuard[]): number {
  const fleet = Fleet.create(4, guards);
  ["one", "two"].forEach((mark, index) => {
    const text = createText(1, mark);
    fleet.send(index, { kind: "published", revision: 7, text, source: { kind: "platform" } });
  });
  fleet.isPlatformDown = true;
  fleet.runRounds(8);
  return new Set(fleet.members.map(({ state }) => getInForce(state)?.revision.digest)).size;
}

test("every daemon chooses the same of two values with one revision number", () => {
  assert.equal([runConflict([]), runConflict(["revision-conflict"])], [1, 2]);
});

function fetchUnannounced(guards: readonly RevisionGuard[]): string[] {
  const fleet = Fleet.create(2, guards);
  fleet.isPlatformDown = true;
  const source = { kind: "peer", name: "d1" } as const;
  fleet.send(0, { kind: "published", revision: 8, text: createText(1, "other"), source });
  fleet.runRounds(6);
  return fleet.describe();
}

test("a text that a peer did not announce is rejected", () => {
  assert.equal(fetchUnannounced([]), Array(2).fill("none refused none"));
  assert.equal(fetchUnannounced(["revision-digest"]), Array(2).fill("1.8 refused none"));
});

function countReads(guards: readonly RevisionGuard[], isDown: boolean): number {
  const fleet = Fleet.create(40, guards);
  fleet.runRounds(6);
  fleet.reads = 0;
  fleet.isPlatformDown = isDown;
  fleet.runRounds(60);
  return fleet.reads;
}

test("only a few daemons read the platform, even while it is down", () => {
  const counts = [
    countReads([], false),
    countReads([], true),
    countReads(["revision-readers"], false),
  ];
  console.log(`reads by 40 daemons of 2 zones in 30 s: ${counts.join(", ")}`);
  assert.equal(
    counts.map((count) => count <= 250),
    [true, true, false],
  );
});

test("replaces readers that are unresponsive or disconnected from the platform", () => {
  const fleet = Fleet.create(12);
  fleet.runRounds(6);
  const isFleetReader = ({ state }: { state: RevisionsState }): boolean =>
    isReader(state, fleet.now);
  const unresponsive = fleet.members.filter(isFleetReader).map(({ name }) => name);
  fleet.members = fleet.members.filter(({ name }) => !unresponsive.includes(name));
  fleet.runRounds(8);
  const disconnected = fleet.members.filter(isFleetReader).map(({ name }) => name);
  fleet.namesCutFromPlatform = disconnected;
  fleet.platform = { revision: 2, text: createText(1, "second") };
  fleet.runRounds(8);
  assert.equal([unresponsive.length, disconnected.length], [4, 4]);
  assert.equal(fleet.describe(), Array(8).fill("1.2 refused none"));
});

/** One random event; `kind` selects the action, `a` and `b` are its parameters. */
interface RandomEvent {
  readonly kind: number;
  readonly a: number;
  readonly b: number;
}

function applyEvent(fleet: Fleet, { kind, a, b }: RandomEvent): void {
  const { revision } = fleet.platform;
  const generation = Number(/generation = (\d+)/.exec(fleet.platform.text)?.[1] ?? 1);
  const mark = `${String(revision)} ${String(b)}`;
  const actions: (() => void)[] = [
    () => (fleet.platform = { revision: revision + 1, text: createText(generation, mark) }),
    () => (fleet.platform = { revision: revision + 1, text: createText(generation, mark, false) }),
    () => (fleet.platform = { revision, text: createText(generation, `two ${mark}`) }),
    () => (fleet.platform = { revision: 1, text: createText(generation + 1, mark) }),
    () => (fleet.staleValue = fleet.staleValue ? undefined : { ...fleet.platform }),
    () => (fleet.isPlatformDown = !fleet.isPlatformDown),
    () => {
      fleet.restart(a);
    },
    () => (fleet.now += 700 * (b % 5)),
    () => {
      fleet.send(a % fleet.members.length, { kind: "tick" });
    },
  ];
  const action = actions[kind];
  if (action !== undefined) {
    action();
  } else if (kind % 2 === 0) {
    fleet.deliver(a % fleet.members.length, b % fleet.members.length);
  } else {
    fleet.answer(a % fleet.members.length, b % 5 === 0);
  }
}

function convergesWithoutRegression(events: readonly RandomEvent[]): boolean {
  const fleet = Fleet.create(4);
  const previousByState = new Map<unknown, Revision>();
  for (const event of events) {
    applyEvent(fleet, event);
    for (const { state } of fleet.members) {
      const inForce = getInForce(state)?.revision;
      const previous = previousByState.get(state);
      if (previous !== undefined && (!inForce || compareRevisions(inForce, previous) < 0)) {
        return false;
      }
      if (inForce !== undefined) {
        previousByState.set(state, inForce);
      }
    }
  }
  fleet.isPlatformDown = true;
  const highest = fleet.members.reduce<Revision | undefined>(
    (best, { state }) => (isHigher(state.newest?.revision, best) ? state.newest?.revision : best),
    undefined,
  );
  fleet.runRounds(40);
  const digests = fleet.members.map(({ state }) => getInForce(state)?.revision.digest);
  return (
    digests.every((digest) => digest === highest?.digest) && new Set(fleet.describe()).size === 1
  );
}

function isHigher(a: Revision | undefined, b: Revision | undefined): boolean {
  return a !== undefined && (b === undefined || compareRevisions(a, b) > 0);
}

test("converges on the newest accepted value and never reverts, under random events", () => {
  const event = fc.record({ kind: fc.nat(40), a: fc.nat(3), b: fc.nat(20) });
  const property = fc.property(
    fc.array(event, { minLength: 80, maxLength: 80 }),
    convergesWithoutRegression,
  );
  fc.assert(property, { seed: 7, numRuns: 200 });
});

test.run();
