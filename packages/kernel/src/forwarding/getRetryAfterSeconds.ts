/** Time over which the callers of the least urgent requests are spread after an upstream's rest. */
const maxSpreadMilliseconds = 600;
const maxPriority = 9;
const millisecondsPerSecond = 1_000;

/**
 * Gets the time after which a caller should return whose request no upstream takes before a known
 * time. Callers do not return all at once, and those of urgent requests return first.
 * @param availableAt - Time from which an upstream takes requests again.
 * @param now - Current time, in milliseconds by the same clock.
 * @param priority - Priority of the request, from 0 (most urgent) to 9.
 * @param random - Random number in [0, 1).
 * @returns Seconds, with three decimal places at most.
 */
export function getRetryAfterSeconds(
  availableAt: number,
  now: number,
  priority: number,
  random: number,
): number {
  const share = (Math.min(priority, maxPriority) + random) / (maxPriority + 1);
  const milliseconds = Math.max(0, availableAt - now) + share * maxSpreadMilliseconds;
  return Math.ceil(milliseconds) / millisecondsPerSecond;
}
