import { suite } from "uvu";
import * as assert from "uvu/assert";
import { TaskWatch } from "../../dist/lifecycle/TaskWatch.js";

const test = suite("TaskWatch");

interface Play {
  readonly watch: TaskWatch;
  /** Messages of the errors that the watch has reported. */
  readonly errors: string[];
  /** Numbers of the failures that were logged. */
  readonly logged: unknown[];
}

function create(): Play {
  const errors: string[] = [];
  const logged: unknown[] = [];
  const watch = TaskWatch.create({
    onFailed: ({ message }) => errors.push(message),
    onFailedTurn: () => undefined,
    record: (_level, _event, fields) => logged.push(fields["failures"]),
  });
  return { watch, errors, logged };
}

function fail(): never {
  throw new Error("broken");
}

function run(watch: TaskWatch, turns: number, turn: () => void): void {
  for (let index = 0; index < turns; index += 1) {
    watch.run("checks", turn);
  }
}

// Guards against a process that lives on while a task of it fails always (issue 45).
test("reports a task that fails always, once, and logs few of its failures", () => {
  const { watch, errors, logged } = create();
  run(watch, 19, fail);
  assert.equal(errors, []);
  run(watch, 50, fail);
  assert.equal(errors, ['task "checks" failed 20 times in a row: broken']);
  assert.equal(logged, [1, 2, 4, 8, 16, 32, 64]);
});

// Guards against a process that ends because of a failure that passes.
test("does not report a task that fails now and then", () => {
  const { watch, errors } = create();
  for (let rounds = 0; rounds < 10; rounds += 1) {
    run(watch, 19, fail);
    run(watch, 1, () => undefined);
  }
  assert.equal(errors, []);
});

test("reports a periodic task whose turns end later and fail always", async () => {
  const { watch, errors } = create();
  for (let turns = 0; turns < 20; turns += 1) {
    await watch.runLater("peers", () => Promise.reject(new Error("broken")));
  }
  assert.equal(errors, ['task "peers" failed 20 times in a row: broken']);
});

// Guards against a loop that was started and whose end nobody sees.
test("reports a loop that ends, or fails", async () => {
  const ended = create();
  await ended.watch.runLoop(
    "registry",
    () => Promise.resolve(),
    () => 0,
  );
  const failed = create();
  await failed.watch.runLoop(
    "registry",
    () => Promise.reject(new Error("broken")),
    () => 0,
  );
  assert.equal(
    [ended.errors, failed.errors],
    [['task "registry" has ended: no error'], ['task "registry" has ended: broken']],
  );
});

test("does not report a loop that ends because the process stops", async () => {
  const { watch, errors } = create();
  watch.stop();
  await watch.runLoop(
    "registry",
    () => Promise.resolve(),
    () => 0,
  );
  assert.equal(errors, []);
});

// Guards against a loop that waits for good, and against the end of a process that only had no ticks.
test("reports a loop that completes nothing for 300 ticks", () => {
  const { watch, errors } = create();
  let turns = 0;
  void watch.runLoop(
    "registry",
    () => new Promise(() => undefined),
    () => turns,
  );
  const tick = (count: number): void => {
    for (let ticks = 0; ticks < count; ticks += 1) {
      watch.recordTick();
    }
  };
  tick(299);
  turns += 1;
  tick(300);
  assert.equal(errors, []);
  tick(1);
  assert.equal(errors, ['task "registry" has completed nothing for 300 ticks']);
});

test.run();
