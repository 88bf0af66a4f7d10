import { suite } from "uvu";
import * as assert from "uvu/assert";
import { actsPlugin, ActsStartError, getActsSummary, Kernel } from "@pistachioway/kernel";
import { ActDaemon, createAttempted, describe } from "./ActDaemon.js";

const test = suite("actsPlugin");

test("runs an act once and answers repeated requests from the record", () => {
  const daemon = ActDaemon.create("d1");
  const key = daemon.issueKey();
  const lines = [
    describe(daemon.submit(key)),
    describe(daemon.submit(key)),
    describe(daemon.send(createAttempted("d1/i1/0/1", "answered"))),
    describe(daemon.submit(key)),
  ];
  assert.equal(lines, [
    ["send d1/i1/0/1"],
    ["wait d1-r2"],
    ["answer d1-r1 done ran d1/i1/0/1", "answer d1-r2 done ran d1/i1/0/1"],
    ["answer d1-r3 done ran d1/i1/0/1"],
  ]);
});

test("answers unknown after a lost attempt and does not send the act again", () => {
  const daemon = ActDaemon.create("d1");
  const key = daemon.issueKey();
  daemon.submit(key);
  assert.equal(describe(daemon.send(createAttempted("d1/i1/0/1", "lost", true))), [
    "answer d1-r1 unknown",
  ]);
  assert.equal(describe(daemon.submit(key)), ["answer d1-r2 unknown"]);
});

test("tries another host only if the act did not run; the last refusal is final", () => {
  const daemon = ActDaemon.create("d1");
  const key = daemon.issueKey();
  const lines = [
    describe(daemon.submit(key)),
    describe(daemon.send(createAttempted("d1/i1/0/1", "never-sent", true))),
    describe(daemon.send(createAttempted("d1/i1/0/1", "never-sent", true))),
    describe(daemon.send(createAttempted("d1/i1/0/2", "refused-by-upstream", false))),
    describe(daemon.submit(key)),
  ];
  assert.equal(lines, [
    ["send d1/i1/0/1"],
    ["send d1/i1/0/2"],
    [],
    ["answer d1-r1 refused"],
    ["answer d1-r2 refused"],
  ]);
});

test("rejects foreign, forged, expired and reused keys, unlisted issuers and passed deadlines", () => {
  const daemon = ActDaemon.create("d1");
  const forger = ActDaemon.create("d1", "i1", [], {}, "another secret");
  const unlisted = ActDaemon.create("d9");
  const older = ActDaemon.create("d1", "i0");
  const used = daemon.issueKey();
  daemon.submit(used);
  const lines = [
    daemon.submit("order-77"),
    daemon.submit(forger.issueKey()),
    daemon.submit(daemon.issueKey(5), 5),
    daemon.submit(used, 0, { fingerprint: "other" }),
    daemon.submit(unlisted.issueKey()),
    daemon.submit(older.issueKey()),
    daemon.submit(daemon.issueKey(), 10, { deadline: 10 }),
  ].flatMap(describe);
  assert.equal(lines, [
    "reject d1-r2 act-key-foreign not-run",
    "reject d1-r3 act-key-forged not-run",
    "reject d1-r4 act-key-expired unknown",
    "reject d1-r5 act-key-reused unknown",
    "reject d1-r6 act-issuer-unlisted unknown",
    "reject d1-r7 act-issuer-gone unknown",
    "reject d1-r8 act-deadline-passed unknown",
  ]);
});

test("forwards to a listed issuer, answers unknown when it is lost, and forwards no act twice", () => {
  const issuer = ActDaemon.create("d1");
  const entry = ActDaemon.create("d2");
  const key = issuer.issueKey();
  const lost = { kind: "forwarded", requestId: "d2-r1", result: { kind: "lost" } } as const;
  const lines = [
    describe(entry.submit(key)),
    describe(entry.send({ ...lost, peers: [{ name: "d1" }] })),
    describe(entry.send({ ...lost, peers: [] })),
    describe(entry.submit(key, 0, { forwardedBy: "d3" })),
  ];
  assert.equal(lines, [
    ["forward d2-r1 d1"],
    ["forward d2-r1 d1"],
    ["reject d2-r1 act-issuer-lost unknown"],
    ["reject d2-r2 act-issuer-gone unknown"],
  ]);
});

test("rejects acts beyond the table's limit and removes records when their keys expire", () => {
  const daemon = ActDaemon.create("d1", "i1", [], { maxActs: 1 });
  const lines = [
    describe(daemon.submit(undefined)),
    describe(daemon.submit(undefined)),
    describe(daemon.submit(daemon.issueKey())),
    describe(daemon.send(createAttempted("d1/i1/0/1", "answered"))),
    describe(daemon.send({ kind: "tick" }, 1000)),
  ];
  assert.equal(lines, [
    ["send d1/i1/0/1"],
    ["reject d1-r2 act-table-full not-run"],
    ["reject d1-r3 act-table-full unknown"],
    ["answer d1-r1 done ran d1/i1/0/1"],
    [],
  ]);
  assert.equal(getActsSummary(daemon.state), { acts: 0, bytes: 0, running: 0, forwards: 0 });
});

test("answers unknown at the deadline while the act continues", () => {
  const daemon = ActDaemon.create("d1");
  const key = daemon.issueKey();
  daemon.submit(key, 0, { deadline: 50 });
  assert.equal(describe(daemon.send({ kind: "tick" }, 50)), ["reject d1-r1 act-running unknown"]);
  daemon.send(createAttempted("d1/i1/0/1", "answered"), 60);
  assert.equal(describe(daemon.submit(key, 61)), ["answer d1-r2 done ran d1/i1/0/1"]);
});

test("starts once", () => {
  const daemon = ActDaemon.create("d1");
  const secret = new Uint8Array(16);
  const again = { kind: "start", daemon: "d1", incarnation: "i1", secret } as const;
  assert.throws(
    () => daemon.send(again),
    (error: unknown) => error instanceof ActsStartError,
  );
  assert.throws(
    () => Kernel.create(1).send(actsPlugin, { kind: "tick" }, 0),
    /the acts plug-in got "tick" before "start"/,
  );
});

test.run();
