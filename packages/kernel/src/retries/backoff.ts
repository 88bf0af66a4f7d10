import type { Instant } from "../kernel/index.js";
import { getFraction } from "../membership/hash.js";

const firstDelayMilliseconds = 25;
const maxDelayMilliseconds = 1_000;
const callerRetryDelayMilliseconds = 1_000;

/**
 * Gets the instant of the next attempt, after an exponential delay with a jitter of ±50 %.
 * @param seed - Seed of the jitter.
 * @param requestId - Id of the request to send again.
 * @param attempt - Number of the attempt that failed, from 1.
 * @param now - Time of the failure.
 */
export function getRetryInstant(
  seed: number,
  requestId: string,
  attempt: number,
  now: Instant,
): Instant {
  const delay = Math.min(firstDelayMilliseconds * 2 ** (attempt - 1), maxDelayMilliseconds);
  return now + Math.round(delay * (0.5 + getJitter(seed, requestId, attempt)));
}

/**
 * Gets the instant from which a caller may retry: 1 to 2 s from now, so that callers are spread.
 * @param seed - Seed of the jitter.
 * @param requestId - Id of the request that failed.
 * @param now - Time of the response to the caller.
 */
export function getCallerRetryInstant(seed: number, requestId: string, now: Instant): Instant {
  return now + Math.round(callerRetryDelayMilliseconds * (1 + getJitter(seed, requestId, 0)));
}

function getJitter(seed: number, requestId: string, attempt: number): number {
  return getFraction(`${String(seed)}/${requestId}/${String(attempt)}`);
}
