/** Time between the releases of a content by two daemons, on average: peers learn meanwhile how it went. */
const millisecondsPerDaemon = 3_000;

/**
 * Draws the milliseconds by which a daemon sends a content again later than its quarantine ends.
 * @param daemonCount - Number of daemons, this one included.
 * @param random - A random number in [0, 1).
 */
export function getReleaseDelay(daemonCount: number, random: number): number {
  return random * daemonCount * millisecondsPerDaemon;
}
