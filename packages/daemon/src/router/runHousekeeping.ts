import type { FleetView } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import type { RegistryTask } from "../registry/index.js";
import type { StreamDirectory } from "../streams/index.js";
import type { UpstreamStarts } from "./UpstreamStarts.js";

/** What the housekeeping of a router reads and updates. */
export interface HousekeepingContext {
  readonly registry: RegistryTask;
  readonly view: FleetView;
  readonly streams: StreamDirectory;
  readonly starts: UpstreamStarts;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/**
 * Updates what depends on the time: upstreams that lapse or are released, and the requests that run on other daemons.
 * @param context - What it reads and updates.
 * @param now - Monotonic time, in milliseconds.
 */
export function runHousekeeping(
  { registry, view, streams, starts, record }: HousekeepingContext,
  now: number,
): void {
  streams.recordList({
    upstreams: registry.upstreams.getEntries().map((entry) => entry.record),
    ageMilliseconds: registry.getAgeMilliseconds(),
    readCount: registry.getReadCount(),
  });
  for (const id of registry.upstreams.removeExpired(now)) {
    record("info", "upstream.lapsed", { upstream: id });
  }
  registry.upstreams.addReleased(now);
  starts.check(now);
  const runningOnPeers = view.getRunningCounts(now);
  for (const entry of registry.upstreams.getEntries()) {
    entry.runningOnOtherDaemons = runningOnPeers.get(entry.hash) ?? 0;
  }
}
