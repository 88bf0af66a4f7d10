import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  Kernel,
  retriesPlugin,
  type FailureClass,
  type FailureMessage,
  type RetriesEffect,
  type RetryGuard,
} from "@pistachioway/kernel";

const now = 1_000_000;
const classes: FailureClass[] = ["neverSent", "refused", "lost", "timeout", "mismatch"];

function createFailure(changes: Partial<FailureMessage> = {}): FailureMessage {
  return {
    kind: "failed",
    requestId: "r1",
    class: "lost",
    host: "e1",
    attempt: 1,
    repeatable: true,
    firstByteSent: false,
    deadline: now + 60_000,
    ...changes,
  };
}

function describe(effect: RetriesEffect): string {
  switch (effect.kind) {
    case "retry":
      return `retry without ${effect.exclude.join(" ")}`;
    case "resume":
      return `resume ${effect.host} at ${String(effect.offset)}`;
    case "giveUp":
      return `${effect.outcome} ${effect.error.code}`;
  }
}

function createSender(
  budgetRatio = 1,
  disabledGuards: readonly RetryGuard[] = [],
): (changes?: Partial<FailureMessage>) => RetriesEffect {
  const kernel = Kernel.create(1);
  kernel.send(retriesPlugin, { kind: "configure", budgetRatio, disabledGuards }, now);
  return (changes) => {
    const effects = kernel.send(retriesPlugin, createFailure(changes), now);
    return effects[0] as RetriesEffect;
  };
}

const test = suite("retries");

test("decides every first failure by class, repeatability and progress", () => {
  const table = [true, false].flatMap((repeatable) =>
    [false, true].flatMap((firstByteSent) =>
      classes.map((name) => {
        const effect = createSender()({ class: name, repeatable, firstByteSent });
        const kind = `${name}${repeatable ? " repeatable" : ""}${firstByteSent ? " begun" : ""}`;
        return `${kind}: ${describe(effect)}`;
      }),
    ),
  );
  assert.equal(table, [
    "neverSent repeatable: retry without e1",
    "refused repeatable: retry without e1",
    "lost repeatable: retry without e1",
    "timeout repeatable: retry without e1",
    "mismatch repeatable: retry without e1",
    "neverSent repeatable begun: unknown stream-broken",
    "refused repeatable begun: unknown stream-broken",
    "lost repeatable begun: unknown stream-broken",
    "timeout repeatable begun: unknown stream-broken",
    "mismatch repeatable begun: unknown stream-broken",
    "neverSent: retry without e1",
    "refused: retry without e1",
    "lost: unknown not-repeatable",
    "timeout: unknown not-repeatable",
    "mismatch: unknown not-repeatable",
    "neverSent begun: unknown stream-broken",
    "refused begun: unknown stream-broken",
    "lost begun: unknown stream-broken",
    "timeout begun: unknown stream-broken",
    "mismatch begun: unknown stream-broken",
  ]);
});

test("reports not-run only when no attempt can have run", () => {
  const send = createSender();
  send({ class: "lost" });
  send({ class: "refused", attempt: 2, host: "e2" });
  const last = describe(send({ class: "refused", attempt: 3, host: "e3" }));
  const sendRefused = createSender();
  sendRefused({ class: "refused" });
  sendRefused({ class: "neverSent", attempt: 2, host: "e2" });
  const refused = describe(sendRefused({ class: "refused", attempt: 3, host: "e3" }));
  assert.equal([last, refused], ["unknown too-many-attempts", "not-run too-many-attempts"]);
});

test("excludes every host that failed", () => {
  const send = createSender();
  send();
  assert.is(describe(send({ attempt: 2, host: "e2" })), "retry without e1 e2");
});

test("resumes a stream while it makes progress", () => {
  const send = createSender(0);
  const offsets = [7, 7, 9, 9, 9].map((resumeOffset) =>
    describe(send({ firstByteSent: true, resumeOffset })),
  );
  assert.equal(offsets, [
    "resume e1 at 7",
    "resume e1 at 7",
    "resume e1 at 9",
    "resume e1 at 9",
    "unknown stream-broken",
  ]);
});

test("fails at once when the next attempt would miss the deadline or the budget is exhausted", () => {
  const overdue = createSender()({ class: "refused", deadline: now + 10 });
  const exhausted = createSender(0)({ class: "refused", retryAfter: now + 5_000 });
  assert.equal(
    [overdue, exhausted].map((effect) => [
      describe(effect),
      effect.kind === "giveUp" && effect.retryAt,
    ]),
    [
      ["not-run retry-deadline", now + 1_940],
      ["not-run retry-budget-exhausted", now + 5_000],
    ],
  );
});

test("each guard can be switched off", () => {
  const kinds = (["retry-budget", "retry-repeatable", "retry-first-byte"] as const).map((guard) => {
    const changes = { repeatable: guard !== "retry-repeatable" };
    const send = createSender(guard === "retry-budget" ? 0 : 1, [guard]);
    return send({ ...changes, firstByteSent: guard === "retry-first-byte" }).kind;
  });
  assert.equal(kinds, ["retry", "retry", "retry"]);
});

test.run();
