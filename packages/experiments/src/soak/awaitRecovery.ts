import type { StallWatch } from "./StallWatch.js";

/** How the recovery after the last disturbance is awaited. Times are milliseconds. */
export interface RecoveryOptions {
  /** Time in which the routers must recover. */
  readonly recoveryMilliseconds: number;
  /** Time after it in which calls are checked to succeed. */
  readonly checkMilliseconds: number;
  /** Longest time until the end of the check, however often the process stalls. */
  readonly maxMilliseconds: number;
  readonly stallWatch: StallWatch;
  readonly getNow: () => number;
  readonly wait: (milliseconds: number) => Promise<unknown>;
}

/**
 * Waits until calls have been sent for a time at which all routers must have recovered. The recovery begins anew after
 * each stall of the soak's process, which interrupts the store, the upstreams and the callers.
 * @param options - How it is awaited.
 * @returns The end of the recovery, at which the check began.
 */
export async function awaitRecovery(options: RecoveryOptions): Promise<number> {
  const { recoveryMilliseconds, checkMilliseconds, stallWatch, getNow, wait } = options;
  const startedAt = getNow();
  const endsAtLatest = startedAt + options.maxMilliseconds;
  let deadlineAt = startedAt + recoveryMilliseconds;
  for (;;) {
    await wait(deadlineAt + checkMilliseconds - getNow());
    const stalledUntil = stallWatch.getLastEnd() ?? startedAt;
    const nextDeadlineAt = Math.max(startedAt, stalledUntil) + recoveryMilliseconds;
    if (nextDeadlineAt <= deadlineAt || nextDeadlineAt + checkMilliseconds > endsAtLatest) {
      return deadlineAt;
    }
    deadlineAt = nextDeadlineAt;
  }
}
