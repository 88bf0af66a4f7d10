import type { ClockReading } from "@pistachioway/kernel";

/** Reads the monotonic clock, in milliseconds. */
export function readMonotonicClock(): number {
  return performance.now();
}

/** Reads the monotonic clock and that of the host, in milliseconds. */
export function readClocks(): ClockReading {
  return { monotonic: performance.now(), wall: Date.now() };
}
