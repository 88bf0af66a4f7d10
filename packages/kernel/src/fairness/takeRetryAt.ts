const maxRetryDelayMilliseconds = 60_000;

/** Something whose refusals count on from one another. */
export interface RefusalAccount {
  /** Latest retry instant given to a refused request. */
  lastRetryAt: number;
}

/**
 * Takes the instant at which a refused request may be retried.
 *
 * Consecutive refusals get increasing instants, spaced by the time that one request takes, so that the retries do not
 * arrive all at once.
 * @param account - Account of the refusals, whose last retry instant is updated.
 * @param capacityAt - Instant from which there is capacity.
 * @param requestMilliseconds - Time that one request takes.
 * @param now - Current time.
 */
export function takeRetryAt(
  account: RefusalAccount,
  capacityAt: number,
  requestMilliseconds: number,
  now: number,
): number {
  const earliest =
    Math.max(capacityAt, account.lastRetryAt) + Math.max(1, Math.ceil(requestMilliseconds));
  const retryAt = Math.min(earliest, now + maxRetryDelayMilliseconds);
  account.lastRetryAt = retryAt;
  return retryAt;
}
