import { suite } from "uvu";
import * as assert from "uvu/assert";
import { admissionPlugin, Kernel, type AdmissionMessage, type Team } from "@pistachioway/kernel";

const now = 1_000_000;

function createTeam(name: string, changes: Partial<Team> = {}): Team {
  const tokenSha256 = "0".repeat(64);
  return { name, tokenSha256, priority: 5, share: 1, maxConcurrent: 1000, ...changes };
}

function createKernel(teams: readonly Team[], capacity: number): Kernel {
  const kernel = Kernel.create(1);
  kernel.send(admissionPlugin, { kind: "configure", teams }, now);
  kernel.send(admissionPlugin, { kind: "capacity", capacity, daemon: "d1", daemons: ["d1"] }, now);
  return kernel;
}

function arrive(requestId: string, team: string, deadline = now + 60_000): AdmissionMessage {
  return { kind: "arrive", requestId, team, cost: 1, deadline };
}

function send(kernel: Kernel, message: AdmissionMessage, at = now): string[] {
  return kernel
    .send(admissionPlugin, message, at)
    .filter((effect) => effect.kind !== "teamTotals")
    .map((effect) => {
      const suffix =
        effect.kind === "admit" ? "" : ` ${effect.error.code} at ${String(effect.retryAt - now)}`;
      return `${effect.kind} ${effect.requestId}${suffix}`;
    });
}

const test = suite("admission");

test("admits requests up to the capacity and the next ones as requests end", () => {
  const kernel = createKernel([createTeam("a")], 2);
  assert.equal(send(kernel, arrive("1", "a")), ["admit 1"]);
  assert.equal(send(kernel, arrive("2", "a")), ["admit 2"]);
  assert.equal(send(kernel, arrive("3", "a")), []);
  assert.equal(send(kernel, { kind: "finish", requestId: "1" }), ["admit 3"]);
});

test("refuses an unknown team and an unreachable deadline on arrival", () => {
  const kernel = createKernel([createTeam("a")], 1);
  assert.equal(send(kernel, arrive("1", "b")), ["refuse 1 unknown-team at 0"]);
  send(kernel, arrive("2", "a"));
  send(kernel, arrive("3", "a"));
  assert.equal(send(kernel, arrive("4", "a", now + 500)), [
    "refuse 4 deadline-unreachable at 2500",
  ]);
  assert.equal(send(kernel, arrive("5", "a", now + 500)), [
    "refuse 5 deadline-unreachable at 3500",
  ]);
});

test("refuses requests when the queue is full", () => {
  const kernel = createKernel([createTeam("a")], 0);
  const effects = Array.from({ length: 1002 }, (_, index) => {
    return send(kernel, arrive(String(index), "a", now + 10_000_000));
  });
  assert.equal(effects.flat(), [
    "refuse 1000 queue-full at 1000",
    "refuse 1001 queue-full at 2000",
  ]);
});

test("expires a waiting request when its deadline passes", () => {
  const kernel = createKernel([createTeam("a")], 1);
  send(kernel, arrive("1", "a"));
  send(kernel, arrive("2", "a", now + 1_500));
  assert.equal(send(kernel, { kind: "tick", at: now + 1_000 }, now + 1_000), []);
  assert.equal(send(kernel, { kind: "tick", at: now + 1_500 }, now + 1_500), [
    "expire 2 deadline-passed at 2500",
  ]);
});

test.run();
