/**
 * Lets the process stand still, as a pause of it does: timers and sockets wait.
 * @param milliseconds - Length of the pause.
 */
export function standStill(milliseconds: number): void {
  const end = performance.now() + milliseconds;
  while (performance.now() < end) {
    // Nothing else runs.
  }
}
