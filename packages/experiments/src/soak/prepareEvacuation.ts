import { setTimeout as delay } from "node:timers/promises";
import { pick } from "./pick.js";
import type { DisturbanceContext, PreparedDisturbance } from "./PreparedDisturbance.js";
import { storeName } from "./schema.js";

/** Longer than the time after which nothing may reach the zone, so that requests can break the promise. */
const minEvacuationMilliseconds = 6_000;
const maxEvacuationMilliseconds = 12_000;

/** Evacuates a zone for a time; undefined while one is evacuated or only one has upstreams. */
export function prepareEvacuation({
  installation,
  random,
}: DisturbanceContext): PreparedDisturbance | undefined {
  const zones = installation.getEvacuableZones();
  if (zones.length === 0) {
    return undefined;
  }
  const zone = pick(zones, random);
  const spread = maxEvacuationMilliseconds - minEvacuationMilliseconds;
  const milliseconds = minEvacuationMilliseconds + random.getUniform() * spread;
  const run = async (): Promise<void> => {
    installation.evacuateZone(zone);
    await delay(milliseconds);
    installation.returnZone(zone);
  };
  return { target: storeName, run };
}
