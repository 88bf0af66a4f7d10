import * as assert from "uvu/assert";
import { createRandom } from "./deployments.js";
import { NoticeTraffic } from "./NoticeTraffic.js";

const settlingMilliseconds = 12_000;
/** Time within which each daemon must know what the whole fleet decides on. */
export const deliveryMilliseconds = 2_000;
/** Notices in a second on prompt blocks at a site with 24 routers or more. */
const prefixRate = 400;
const datagramLoss = 0.1;
export const sampleCount = 24;
export const sampleMilliseconds = 250;

/** Creates a fleet whose daemons know each other, under traffic. */
export function createTraffic(daemons: number, zones: number, seed = 1): NoticeTraffic {
  const getRandom = createRandom(seed);
  const traffic = NoticeTraffic.create({
    daemons,
    zones,
    prefixRate,
    loss: datagramLoss,
    getRandom,
  });
  traffic.run(settlingMilliseconds);
  return traffic;
}

/** Lets random daemons learn one notice of each kind in turn, with pauses. */
export function tellSamples(traffic: NoticeTraffic): void {
  for (let sample = 0; sample < sampleCount; sample += 1) {
    const id = `i-${String(sample)}`;
    const { now } = traffic.fleet;
    traffic.tell(traffic.createLoss());
    traffic.tell({ kind: "leaving", id, bornAt: 7 });
    traffic.tell({ kind: "resting", id, endsAt: now + 5_000 });
    traffic.tell({ kind: "limit", id, perSecond: 4, at: now });
    traffic.run(sampleMilliseconds);
  }
  traffic.run(deliveryMilliseconds);
}

/** Checks that each running daemon received all in time, and that nothing was dropped unsent. */
export function assertDelivered(traffic: NoticeTraffic, name: string): void {
  const delays = traffic.getDelays();
  const median = delays[Math.floor(delays.length / 2)] ?? Infinity;
  const late = traffic.getLate(deliveryMilliseconds);
  console.log(
    `${name}: median ${String(median)} ms, ${String(late.length)} of ${String(delays.length)} late, ` +
      `${String(traffic.dropped.length)} dropped unsent`,
  );
  assert.equal(late.slice(0, 5), []);
  assert.equal(traffic.dropped.slice(0, 5), []);
}
