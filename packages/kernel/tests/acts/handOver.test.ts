import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { ActGuard, ActsEffect, ActsMessage } from "@pistachioway/kernel";
import { ActDaemon, createAttempted, describe } from "./ActDaemon.js";

const test = suite("acts: hand-over and single guards");

const successor = { name: "d2", incarnation: "i1" };

test("waits for acts in flight; the successor then answers repeated requests from the record", () => {
  const [issuer, successorDaemon] = [ActDaemon.create("d1"), ActDaemon.create("d2")];
  const [used, unused] = [issuer.issueKey(), issuer.issueKey()];
  const lines = [
    describe(issuer.submit(used)),
    describe(issuer.send({ kind: "hand-over", successor })),
    describe(issuer.submit(unused, 0, { forwardedBy: "d3" })),
  ];
  const ended = issuer.send(createAttempted("d1/i1/0/1", "answered"));
  lines.push(describe(ended), describe(successorDaemon.send(createAdoption(ended))));
  const transferred = { issuer: "d1", incarnation: "i1", accepted: true } as const;
  lines.push(
    describe(issuer.send({ kind: "transferred", ...transferred })),
    describe(successorDaemon.submit(used)),
    describe(successorDaemon.submit(unused)),
  );
  assert.equal(lines, [
    ["send d1/i1/0/1"],
    [],
    ["wait d1-r2"],
    ["answer d1-r1 done ran d1/i1/0/1", "transfer d2 1 acts"],
    ["adopted d1/i1"],
    ["moved d1-r2 d2"],
    ["answer d2-r1 done ran d1/i1/0/1"],
    ["send d1/i1/1/1"],
  ]);
});

test("adopts a table only if this incarnation is its successor, unless the guard is off", () => {
  assert.equal(adoptAfterRestart([]), ["reject adopt act-hand-over unknown"]);
  assert.equal(adoptAfterRestart(["hand-over-incarnation"]), ["adopted d1/i1"]);
});

const steps: [ActGuard, (guards: ActGuard[]) => readonly ActsEffect[], string, string][] = [
  ["act-authenticity", submitForged, "reject d1-r1 act-key-forged not-run", "send d1/i1/0/1"],
  ["act-fingerprint", submitReused, "reject d1-r2 act-key-reused unknown", "wait d1-r2"],
  [
    "act-issuer-listed",
    submitUnlisted,
    "reject d1-r1 act-issuer-unlisted unknown",
    "forward d1-r1 d9",
  ],
  [
    "act-single-forward",
    submitForwarded,
    "reject d1-r1 act-issuer-gone unknown",
    "forward d1-r1 d2",
  ],
  ["act-table-bound", submitBeyondBound, "reject d1-r1 act-table-full not-run", "send d1/i1/0/1"],
];

for (const [guard, run, guarded, unguarded] of steps) {
  test(`rejects the request only with the guard ${guard}`, () => {
    assert.equal([run([]), run([guard])].map(describe), [[guarded], [unguarded]]);
  });
}

function createAdoption(effects: readonly ActsEffect[]): ActsMessage {
  const transfer = effects.find((effect) => effect.kind === "transfer");
  if (transfer === undefined) {
    throw new TypeError("no table was transferred");
  }
  return { kind: "adopt", requestId: "adopt", successor, table: transfer.table };
}

function adoptAfterRestart(guards: readonly ActGuard[]): string[] {
  const issuer = ActDaemon.create("d1");
  issuer.issueKey();
  const adoption = createAdoption(issuer.send({ kind: "hand-over", successor }));
  return describe(ActDaemon.create("d2", "i2", guards).send(adoption));
}

function submitForged(guards: ActGuard[]): readonly ActsEffect[] {
  const forger = ActDaemon.create("d1", "i1", [], {}, "another secret");
  return ActDaemon.create("d1", "i1", guards).submit(forger.issueKey());
}

function submitReused(guards: ActGuard[]): readonly ActsEffect[] {
  const daemon = ActDaemon.create("d1", "i1", guards);
  const key = daemon.issueKey();
  daemon.submit(key);
  return daemon.submit(key, 0, { fingerprint: "other" });
}

function submitUnlisted(guards: ActGuard[]): readonly ActsEffect[] {
  return ActDaemon.create("d1", "i1", guards).submit(ActDaemon.create("d9").issueKey());
}

function submitForwarded(guards: ActGuard[]): readonly ActsEffect[] {
  const key = ActDaemon.create("d2").issueKey();
  return ActDaemon.create("d1", "i1", guards).submit(key, 0, { forwardedBy: "d3" });
}

function submitBeyondBound(guards: ActGuard[]): readonly ActsEffect[] {
  return ActDaemon.create("d1", "i1", guards, { maxActs: 0 }).submit(undefined);
}

test.run();
