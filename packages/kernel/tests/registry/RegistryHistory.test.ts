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

test.run();
