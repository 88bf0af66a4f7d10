import { suite } from "uvu";
import * as assert from "uvu/assert";
import { EvacuationTraffic, type TrafficResult } from "./EvacuationTraffic.js";

const test = suite("burst while a zone is evacuated");

const seeds = [1, 2, 3];
const evacuatedAt = 3_000;
/** Daemons that learn of each other's requests at nearly the same time, which herds, and at different times. */
const offsets = [4, 34];
/** Requests of a thousand that may reach an upstream above twice the mean and 3 requests. */
const allowedPerThousand = 30;

function run(isSticky: boolean, isSpread: boolean, offset: number): readonly TrafficResult[] {
  return seeds.map((seed) =>
    EvacuationTraffic.run({
      seed,
      isSticky,
      isSpread,
      gossipOffsetMilliseconds: offset,
      evacuatedAt,
    }),
  );
}

// Guards against requests to the zone, refusals while other zones have upstreams, and a herd on one of these.
for (const isSticky of [true, false]) {
  test(`bulky requests ${isSticky ? "with" : "without"} a key go to the other zones without a herd`, () => {
    for (const offset of offsets) {
      const results = run(isSticky, true, offset);
      assert.equal(
        results.map(({ sent, refused, sentToZone, overLimitPerThousand }) => ({
          sent,
          refused,
          sentToZone,
          isSpread: overLimitPerThousand <= allowedPerThousand,
        })),
        seeds.map(() => ({ sent: 3_150, refused: 0, sentToZone: 0, isSpread: true })),
      );
    }
  });
}

test("without the spread key the same burst herds", () => {
  const most = Math.max(...run(false, false, 4).map((each) => each.overLimitPerThousand));
  assert.ok(most > allowedPerThousand, `${String(most)} of a thousand`);
});

test.run();
