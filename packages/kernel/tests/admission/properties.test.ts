import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  admissionPlugin,
  Kernel,
  type AdmissionEffect,
  type AdmissionMessage,
  type Team,
} from "@pistachioway/kernel";

const start = 1_000_000;

/** Requests above a team's limit that daemons may admit before they receive each other's totals. */
const maxExcess = 1;
const daemons = ["d1", "d2", "d3"];

function createTeam(name: string, maxConcurrent: number, share = 1): Team {
  return { name, tokenSha256: "0".repeat(64), priority: 5, share, maxConcurrent };
}

/** Simulates several daemons that receive each other's totals without delay. */
class Fleet {
  now = start;
  finished = 0;
  readonly outcomes = new Map<string, string[]>();
  private readonly kernels = new Map(daemons.map((name) => [name, Kernel.create(1)]));

  private constructor(teams: readonly Team[], capacity: number) {
    for (const daemon of daemons) {
      this.send(daemon, { kind: "configure", teams });
      this.send(daemon, { kind: "capacity", capacity, daemon, daemons });
    }
  }

  static create(teams: readonly Team[], capacity: number): Fleet {
    return new Fleet(teams, capacity);
  }

  send(daemon: string, message: AdmissionMessage): void {
    const effects = this.kernels.get(daemon)?.send(admissionPlugin, message, this.now) ?? [];
    effects.forEach((effect) => {
      this.carryOut(daemon, effect);
    });
  }

  tick(): void {
    this.now += 1_000;
    for (const daemon of daemons) {
      this.send(daemon, { kind: "tick", at: this.now });
    }
  }

  /** Ends up to this many running requests. */
  finish(requests: number): void {
    for (const requestId of this.getRunning().slice(0, requests)) {
      this.outcomes.set(requestId, ["admit", "finish"]);
      this.finished += 1;
      for (const daemon of daemons) {
        this.send(daemon, { kind: "finish", requestId });
      }
    }
  }

  getRunning(): string[] {
    return [...this.outcomes].filter(([, kinds]) => kinds.join() === "admit").map(([id]) => id);
  }

  private carryOut(from: string, effect: AdmissionEffect): void {
    if (effect.kind !== "teamTotals") {
      const kinds = this.outcomes.get(effect.requestId) ?? [];
      this.outcomes.set(effect.requestId, [...kinds, effect.kind]);
      return;
    }
    for (const daemon of daemons.filter((name) => name !== from)) {
      this.send(daemon, { kind: "peerTotals", from, at: this.now, totals: effect.totals });
    }
  }
}

const stepArbitrary = fc.record({
  kind: fc.constantFrom("arrive", "arrive", "finish", "cancel", "tick"),
  daemon: fc.constantFrom(...daemons),
  team: fc.constantFrom("a", "b"),
  cost: fc.integer({ min: 1, max: 3 }),
  timeoutMilliseconds: fc.integer({ min: -100, max: 5_000 }),
});

const test = suite("admission properties");

test("each request gets at most one outcome and none is left without one", () => {
  const property = fc.property(fc.array(stepArbitrary, { maxLength: 120 }), (steps) => {
    const fleet = Fleet.create([createTeam("a", 50), createTeam("b", 50, 3)], 6);
    const cancelled = new Set<string>();
    let sequence = 0;
    for (const { kind, daemon, team, cost, timeoutMilliseconds } of steps) {
      const requestId = `${daemon}/${String(sequence)}`;
      if (kind === "arrive") {
        sequence += 1;
        const deadline = fleet.now + timeoutMilliseconds;
        const arrival = { requestId: `${daemon}/${String(sequence)}`, team, cost, deadline };
        fleet.send(daemon, { kind, ...arrival });
      } else if (kind === "tick") {
        fleet.tick();
      } else {
        cancelled.add(requestId);
        fleet.send(daemon, { kind, requestId });
      }
    }
    for (let tick = 0; tick < 40; tick += 1) {
      fleet.tick();
    }
    assert.not([...fleet.outcomes.values()].some((kinds) => kinds.length > 1));
    const answered = [...fleet.outcomes.keys(), ...cancelled];
    assert.ok(new Set(answered).size >= sequence);
  });
  fc.assert(property, { seed: 19, numRuns: 300 });
});

test("the fleet keeps within a team's limit and uses all of it", () => {
  const limitArbitrary = fc.integer({ min: 1, max: 40 });
  const burstsArbitrary = fc.array(fc.tuple(fc.constantFrom(...daemons), fc.nat(12), fc.nat(6)), {
    maxLength: 30,
  });
  const property = fc.property(limitArbitrary, burstsArbitrary, (limit, bursts) => {
    const fleet = Fleet.create([createTeam("a", limit)], 1_000);
    let sequence = 0;
    for (const [daemon, arrivals, ends] of bursts) {
      for (let index = 0; index < arrivals; index += 1) {
        sequence += 1;
        const deadline = start + 10_000_000;
        const requestId = String(sequence);
        fleet.send(daemon, { kind: "arrive", requestId, team: "a", cost: 1, deadline });
        assert.ok(fleet.getRunning().length <= limit + maxExcess);
      }
      fleet.finish(ends);
      fleet.tick();
    }
    for (let tick = 0; tick < 60; tick += 1) {
      fleet.tick();
    }
    assert.ok(fleet.getRunning().length <= limit + maxExcess);
    assert.ok(
      fleet.getRunning().length >= Math.min(limit, sequence - fleet.finished) - daemons.length,
    );
  });
  fc.assert(property, { seed: 23, numRuns: 200 });
});

test.run();
