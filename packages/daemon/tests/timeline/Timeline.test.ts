import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Timeline } from "../../dist/timeline/index.js";

const test = suite("Timeline");

test("orders events after the timestamp of a peer whose clock is ahead", () => {
  let now = 10;
  const timeline = Timeline.create(() => now);
  timeline.addEvent("a", { request: "r1" });
  timeline.addEvent("b", { request: "r2" });
  timeline.observe(15, 3);
  timeline.addEvent("c", { request: "r1" });
  now = 20;
  timeline.addEvent("d", {});
  const { events, next, dropped } = timeline.getPage(0);
  const clocks = events.map(({ name, at, logical }) => `${name} ${String(at)}.${String(logical)}`);
  assert.equal(
    { clocks, next, dropped },
    {
      clocks: ["a 10.0", "b 10.1", "c 15.5", "d 20.0"],
      next: 4,
      dropped: 0,
    },
  );
  assert.equal(
    timeline.getPage(0, "r1").events.map(({ name }) => name),
    ["a", "c"],
  );
});

test("reports how many events were overwritten", () => {
  const timeline = Timeline.create(() => 1);
  for (let index = 0; index < 20_010; index += 1) {
    timeline.addEvent("x", {});
  }
  assert.is(timeline.getPage(0).dropped, 10);
});

test.run();
