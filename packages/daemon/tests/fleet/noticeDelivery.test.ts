import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  assertDelivered,
  createTraffic,
  deliveryMilliseconds,
  sampleCount,
  sampleMilliseconds,
  tellSamples,
} from "./noticePlays.js";
import type { NoticeTraffic } from "./NoticeTraffic.js";

const test = suite("delivery of notices in a fleet under traffic");

/** Losses of 15 engines that end at once with 12 requests each, of which each has three or four contents. */
const waveLosses = 700;
const afterWaveMilliseconds = 500;
const maxDatagramBytes = 1_400;
const maxBytesPerSecond = 12_000;
const measuredMilliseconds = 2_000;
const millisecondsPerSecond = 1_000;

const deployments = [
  { daemons: 5, zones: 4 },
  { daemons: 24, zones: 4 },
  { daemons: 79, zones: 6 },
];

/** Gets the bytes that one daemon sends in a second, on average. */
function measureBytesPerSecond({ fleet }: NoticeTraffic, run: () => void): number {
  const getSent = () => fleet.members.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
  fleet.isEncoded = true;
  const before = getSent();
  run();
  return (
    ((getSent() - before) / fleet.members.length / measuredMilliseconds) * millisecondsPerSecond
  );
}

for (const { daemons, zones } of deployments) {
  const name = `${String(daemons)} daemons`;

  // Guards against notices on prompt blocks that keep losses, limits and leaving upstreams from the fleet (BUDGET).
  test(`${name}: what all must know arrives in time beside the notices on prompt blocks`, () => {
    const traffic = createTraffic(daemons, zones);
    tellSamples(traffic);
    assertDelivered(traffic, name);
  });

  // Guards against losses that wait behind those of engines that ended just before (BUDGET).
  test(`${name}: what all must know arrives in time after many engines have ended at once`, () => {
    const traffic = createTraffic(daemons, zones);
    traffic.addWave(waveLosses);
    traffic.run(afterWaveMilliseconds);
    tellSamples(traffic);
    assertDelivered(traffic, `${name}, wave`);
  });

  test(`${name}: what all must know arrives in time although half of the daemons are killed`, () => {
    const traffic = createTraffic(daemons, zones);
    traffic.fleet.members.slice(0, Math.floor(daemons / 2)).forEach((member) => {
      member.isRunning = false;
    });
    tellSamples(traffic);
    assertDelivered(traffic, `${name}, half killed`);
  });

  test(`${name}: what all must know reaches those that did not just restart in time`, () => {
    const traffic = createTraffic(daemons, zones);
    const restarted = new Set<number>();
    for (let index = 0; index < daemons / 4; index += 1) {
      restarted.add(index);
      traffic.fleet.restart([index]);
      traffic.tell(traffic.createLoss(), daemons - 1 - (index % Math.floor(daemons / 2)));
      traffic.run(sampleMilliseconds);
    }
    traffic.run(deliveryMilliseconds);
    const late = traffic.getLate(deliveryMilliseconds, (daemon) => !restarted.has(daemon));
    assert.equal(late.slice(0, 5), []);
  });

  test(`${name}: datagrams stay within their bytes, also after many engines have ended at once`, () => {
    const traffic = createTraffic(daemons, zones);
    const calm = measureBytesPerSecond(traffic, () => {
      traffic.run(measuredMilliseconds);
    });
    const wave = measureBytesPerSecond(traffic, () => {
      traffic.addWave(waveLosses);
      traffic.run(measuredMilliseconds);
    });
    console.log(
      `${name}: ${calm.toFixed(0)} bytes a second, ${wave.toFixed(0)} in a wave, ` +
        `largest datagram ${String(traffic.fleet.largestDatagramBytes)} bytes`,
    );
    assert.ok(traffic.fleet.largestDatagramBytes < maxDatagramBytes);
    assert.ok(calm <= maxBytesPerSecond && wave <= maxBytesPerSecond);
  });

  test(`${name}: without its priority a notice is late`, () => {
    const traffic = createTraffic(daemons, zones);
    for (let sample = 0; sample < sampleCount; sample += 1) {
      const { now: at } = traffic.fleet;
      traffic.tell({ kind: "prefix", block: 1_000_000 + sample, upstream: 1, at });
      traffic.run(sampleMilliseconds);
    }
    traffic.run(deliveryMilliseconds);
    assert.ok(traffic.getLate(deliveryMilliseconds).length > 0);
  });
}

test.run();
