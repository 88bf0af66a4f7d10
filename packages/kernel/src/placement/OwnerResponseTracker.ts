import type { Instant } from "../kernel/Plugin.js";

interface OwnerResponseState {
  /** Smoothed round-trip time. */
  roundTripMilliseconds: number;
  /** Smoothed mean deviation of the round-trip time. */
  deviationMilliseconds: number;
  /** Until when the owner is not asked, after it missed a deadline. */
  unresponsiveUntil: Instant;
}

const minTimeoutMilliseconds = 20;
const maxTimeoutMilliseconds = 200;
const unresponsiveMilliseconds = 1000;
const roundTripSmoothingRatio = 1 / 8;
const deviationSmoothingRatio = 1 / 4;
const deviationFactor = 4;

/** Computes the timeout for each owner's answers from round-trip times, as in RFC 6298 (TCP). */
export class OwnerResponseTracker {
  private readonly statesByOwner = new Map<string, OwnerResponseState>();

  private constructor() {
    // Created by the static method.
  }

  /** Creates a tracker without owners. */
  static create(): OwnerResponseTracker {
    return new OwnerResponseTracker();
  }

  /**
   * Gets the instant until which to wait for an answer.
   * @param owner - Owner that is asked.
   * @param now - Current time.
   */
  getDeadline(owner: string, now: Instant): Instant {
    const { roundTripMilliseconds, deviationMilliseconds } = this.getState(owner);
    const timeout = roundTripMilliseconds + deviationFactor * deviationMilliseconds;
    return now + Math.min(maxTimeoutMilliseconds, Math.max(minTimeoutMilliseconds, timeout));
  }

  /**
   * Checks whether an owner recently missed a deadline and has sent no message since.
   * @param owner - The owner.
   * @param now - Current time.
   */
  isUnresponsive(owner: string, now: Instant): boolean {
    return now < (this.statesByOwner.get(owner)?.unresponsiveUntil ?? 0);
  }

  /**
   * Updates the round-trip time with that of an answer.
   * @param owner - Owner that answered.
   * @param milliseconds - Time from the reservation to the answer.
   */
  addRoundTrip(owner: string, milliseconds: number): void {
    const state = this.getState(owner);
    const difference = milliseconds - state.roundTripMilliseconds;
    state.roundTripMilliseconds += difference * roundTripSmoothingRatio;
    state.deviationMilliseconds +=
      (Math.abs(difference) - state.deviationMilliseconds) * deviationSmoothingRatio;
  }

  /**
   * Records that an owner missed a deadline, and extends its next timeout.
   * @param owner - The owner.
   */
  addTimeout(owner: string): void {
    const state = this.getState(owner);
    state.deviationMilliseconds = Math.min(
      maxTimeoutMilliseconds / deviationFactor,
      Math.max(state.deviationMilliseconds, minTimeoutMilliseconds / deviationFactor) * 2,
    );
  }

  /**
   * Marks an owner as unresponsive for a while, so that it is not asked.
   * @param owner - The owner.
   * @param now - Current time.
   */
  setUnresponsive(owner: string, now: Instant): void {
    this.getState(owner).unresponsiveUntil = now + unresponsiveMilliseconds;
  }

  /**
   * Marks an owner as responsive after a message from it.
   * @param owner - The owner.
   */
  setResponsive(owner: string): void {
    const state = this.statesByOwner.get(owner);
    if (state !== undefined) {
      state.unresponsiveUntil = 0;
    }
  }

  /**
   * Removes the state of an owner.
   * @param owner - The owner.
   */
  removeOwner(owner: string): void {
    this.statesByOwner.delete(owner);
  }

  private getState(owner: string): OwnerResponseState {
    const existing = this.statesByOwner.get(owner);
    if (existing !== undefined) {
      return existing;
    }
    const state = { roundTripMilliseconds: 0, deviationMilliseconds: 0, unresponsiveUntil: 0 };
    this.statesByOwner.set(owner, state);
    return state;
  }
}
