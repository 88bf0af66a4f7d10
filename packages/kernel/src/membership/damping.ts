import type { Instant } from "../kernel/index.js";

/** Time that each change from reachable to unreachable adds to a host's penalty. */
export const flapPenaltyMilliseconds = 10_000;

/** Penalty above which a host is damped. */
export const dampingThresholdMilliseconds = 25_000;

const reuseThresholdMilliseconds = 10_000;
const maxPenaltyMilliseconds = 60_000;

/** Penalty of a flapping host; it decays linearly and reaches 0 at `penaltyUntil`. */
export interface Damping {
  penaltyUntil: Instant;
  /** Instant from which the host is used again; 0 when it was never damped. */
  reuseAt: Instant;
}

/** Creates the damping of a host without a penalty. */
export function createDamping(): Damping {
  return { penaltyUntil: 0, reuseAt: 0 };
}

/**
 * Adds the penalty of one flap.
 * @param damping - Damping to update.
 * @param now - Time of the flap.
 */
export function addFlap(damping: Damping, now: Instant): void {
  const penaltyUntil = Math.max(damping.penaltyUntil, now) + flapPenaltyMilliseconds;
  damping.penaltyUntil = Math.min(penaltyUntil, now + maxPenaltyMilliseconds);
  if (damping.penaltyUntil - now > dampingThresholdMilliseconds) {
    damping.reuseAt = damping.penaltyUntil - reuseThresholdMilliseconds;
  }
}
