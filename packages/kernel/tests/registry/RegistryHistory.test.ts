import { RegistryHistory, type RegistryChange } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("RegistryHistory");

function createChange(id: string): RegistryChange {
  return { kind: "upstreamGone", id };
}

function createHistory(...positions: readonly number[]): RegistryHistory {
  const history = RegistryHistory.create();
  positions.slice(1).forEach((position, index) => {
    const changes = [createChange(`e-${String(position)}`)];
    history.add(positions[index] ?? 0, { changes, position });
  });
  return history;
}

function getIds(history: RegistryHistory, position: number): readonly unknown[] | undefined {
  const update = history.getSince(position);
  return (
    update && [update.position, ...update.changes.map((change) => "id" in change && change.id)]
  );
}

// Guards against a peer that misses the removal of an upstream between its own position and the next update.
test("tells all changes after a position, those of an update that it lies inside included", () => {
  const history = createHistory(10, 14, 20, 21);
  assert.equal(
    [getIds(history, 10), getIds(history, 15), getIds(history, 21), getIds(history, 30)],
    [[21, "e-14", "e-20", "e-21"], [21, "e-20", "e-21"], [21], [30]],
  );
});

test("knows nothing of positions before its first update, or without one", () => {
  assert.equal(
    [getIds(createHistory(10, 14), 9), getIds(createHistory(10), 10)],
    [undefined, undefined],
  );
});

// Guards against a history that looks complete although a complete read, with unknown changes, lies in between.
test("forgets what came before a gap", () => {
  const history = createHistory(10, 14);
  history.add(18, { changes: [createChange("e-20")], position: 20 });
  assert.equal([getIds(history, 12), getIds(history, 18)], [undefined, [20, "e-20"]]);
});

test("keeps a bounded number of updates", () => {
  const history = createHistory(...Array.from({ length: 100 }, (_, index) => index));
  assert.equal([getIds(history, 66), getIds(history, 67)?.length], [undefined, 33]);
});

function createRouting(version: number): RegistryChange {
  const limits = {
    ...{ headerBytes: 1, bodyBytes: 1 },
    ...{ headerTimeoutMilliseconds: 1, idleTimeoutMilliseconds: 1 },
  };
  return { kind: "routing", routing: { version, routes: [], services: [], limits }, faults: [] };
}

// Guards against configurations that are kept once for each change of them, and end the process (LOST).
test("keeps the newest configuration only, and all other changes", () => {
  const history = RegistryHistory.create();
  const invalid: RegistryChange = { kind: "routingInvalid", detail: "no version" };
  history.add(1, { changes: [createRouting(1), createChange("e-1"), invalid], position: 2 });
  history.add(2, { changes: [createChange("e-2"), createRouting(2)], position: 3 });
  history.add(3, { changes: [invalid], position: 4 });
  assert.equal(history.getSince(1), {
    changes: [createChange("e-1"), createChange("e-2"), createRouting(2), invalid],
    position: 4,
  });
});

// Guards against entries whose size is not bounded by their number (LOST).
test("keeps a bounded number of bytes", () => {
  const history = RegistryHistory.create();
  const bytes = 1_000_000;
  for (let position = 1; position <= 10; position += 1) {
    const change = createChange("x".repeat(bytes));
    history.add(position, { changes: [change], position: position + 1 });
  }
  assert.equal([history.getSince(6), history.getSince(7)?.changes.length], [undefined, 4]);
  const whole = { changes: [createChange("x".repeat(5 * bytes))], position: 12 };
  history.add(11, whole);
  assert.equal([history.getSince(11), history.getKeptBytes()], [undefined, 0]);
});

test.run();
