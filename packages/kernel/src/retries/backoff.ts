import type { Instant } from "../kernel/index.js";
import { getFraction } from "../membership/hash.js";

const firstDelayMilliseconds = 25;
const maxDelayMilliseconds = 1_000;
const callerRetryDelayMilliseconds = 1_000;

/**
 * Gets the instant of the next attempt: exponential with jitter from half to one and a half.
 * @param seed - Seed of the jitter.
 * @param requestId - Request to send again.
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
 * Gets the instant at which a caller may come back, spread over one second.
 * @param seed - Seed of the jitter.
 * @param requestId - Request that was given up on.
 * @param now - Time of the answer.
 */
export function getCallerRetryInstant(seed: number, requestId: string, now: Instant): Instant {
  return now + Math.round(callerRetryDelayMilliseconds * (1 + getJitter(seed, requestId, 0)));
}

function getJitter(seed: number, requestId: string, attempt: number): number {
  return getFraction(`${String(seed)}/${requestId}/${String(attempt)}`);
}
