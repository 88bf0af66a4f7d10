import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EngineModel, EventQueue } from "@pistachioway/experiments";

const test = suite("bench models");

test("the queue runs events in order of time, then of insertion", () => {
  const events = EventQueue.create();
  const seen: string[] = [];
  const addEvent = (at: number, name: string): void => {
    events.addEvent(at, () => seen.push(`${name} at ${String(events.getNow())}`));
  };
  addEvent(30, "late");
  addEvent(10, "first");
  addEvent(20, "second");
  addEvent(20, "third");
  addEvent(5, "earliest");
  events.runUntil(30, () => seen.push("."));
  assert.equal(seen.join(" "), "earliest at 5 . first at 10 . second at 20 . third at 20 .");
});

test("an engine queues requests beyond its slots and counts running and waiting ones", () => {
  const engine = EngineModel.create("e", "a", 2, 100);
  const started: number[] = [];
  [1, 2, 3].forEach((request) => {
    engine.addRequest(() => started.push(request));
  });
  const before = { load: engine.getLoad(), started: [...started] };
  engine.removeRequest();
  assert.equal(
    [before, { load: engine.getLoad(), started }],
    [
      { load: 3, started: [1, 2] },
      { load: 2, started: [1, 2, 3] },
    ],
  );
});

test("an engine evicts the least recently used prefix", () => {
  const engine = EngineModel.create("e", "a", 2, 100);
  engine.addPrefix(1, 40);
  engine.addPrefix(2, 40);
  engine.getCachedTokens(1);
  engine.addPrefix(3, 40);
  assert.equal(
    [1, 2, 3].map((prefix) => engine.getCachedTokens(prefix)),
    [40, 0, 40],
  );
});

test.run();
