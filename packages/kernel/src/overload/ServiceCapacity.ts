import type { UpstreamEntry } from "../upstreams/index.js";

/** What a daemon knows of the capacity of a service. */
export interface ServiceCapacity {
  /** Slots of the upstreams that this daemon can use. */
  readonly slots: number;
  /** Requests that these upstreams hold, as far as the daemon knows; waiting ones included. */
  readonly taken: number;
  /** Those of them that this daemon has sent. */
  readonly running: number;
  /** Requests that the upstreams reported as waiting a short while ago. */
  readonly waiting: number;
  /** Upstreams that reported their load a short while ago. */
  readonly reports: number;
  /** Part of their slots that those upstreams hold requests for; 0 without reports. */
  readonly reportedUse: number;
}

/** Time for which reports of upstreams count: the age of the peers' running counts. */
const reportLifetimeMilliseconds = 1_000;

/**
 * Gets the upstreams of a service that a daemon can send requests to. Those that are avoided count while there are no
 * others, unless their paths are closed: a doubt in all paths must not send or refuse all that waits.
 * @param entries - Upstreams that the registry lists.
 * @param service - Name of the service.
 * @param now - Monotonic time.
 */
export function getUsableUpstreams(
  entries: readonly UpstreamEntry[],
  service: string,
  now: number,
): readonly UpstreamEntry[] {
  const offered = entries.filter(
    (entry) => entry.record.service === service && entry.isOffered() && !entry.isResting(now),
  );
  const preferred = offered.filter((entry) => !entry.isAvoided(now));
  return preferred.length > 0
    ? preferred
    : offered.filter(({ path }) => path.getState() !== "closed");
}

/**
 * Gets what a daemon knows of the capacity of a service.
 * @param usable - Upstreams of the service that it can send requests to.
 * @param now - Monotonic time.
 */
export function getServiceCapacity(usable: readonly UpstreamEntry[], now: number): ServiceCapacity {
  let slots = 0;
  let taken = 0;
  let running = 0;
  let waiting = 0;
  let reports = 0;
  let reportedLoad = 0;
  let reportedSlots = 0;
  for (const entry of usable) {
    slots += entry.record.slots;
    taken += entry.getLoad(now);
    running += entry.running;
    const report = entry.getReportSince(now - reportLifetimeMilliseconds);
    if (report !== undefined) {
      waiting += report.waiting;
      reports += 1;
      reportedLoad += report.load;
      reportedSlots += entry.record.slots;
    }
  }
  const reportedUse = reportedSlots === 0 ? 0 : reportedLoad / reportedSlots;
  return { slots, taken, running, waiting, reports, reportedUse };
}
