import type { Instant } from "../kernel/Plugin.js";

interface OwnerResponseState {
  /** Smoothed round trip and its mean deviation. */
  roundTripMilliseconds: number;
  deviationMilliseconds: number;
  /** Until when the owner is not asked, after it let a deadline pass. */
  unresponsiveUntil: Instant;
}

const minTimeoutMilliseconds = 20;
const maxTimeoutMilliseconds = 200;
const unresponsiveMilliseconds = 1000;
const roundTripSmoothingRatio = 1 / 8;
const deviationSmoothingRatio = 1 / 4;
const deviationFactor = 4;

/** Tells how long to wait for each owner's answer, by the round trips seen. */
export class OwnerResponseTracker {
  private readonly statesByOwner = new Map<string, OwnerResponseState>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates contacts without any round trip. */
  static create(): OwnerResponseTracker {
    return new OwnerResponseTracker();
  }

  /**
   * Gets the instant until which an answer is awaited.
   * @param owner - Owner that is asked.
   * @param now - Current time.
   */
  getDeadline(owner: string, now: Instant): Instant {
    const { roundTripMilliseconds, deviationMilliseconds } = this.getState(owner);
    const timeout = roundTripMilliseconds + deviationFactor * deviationMilliseconds;
    return now + Math.min(maxTimeoutMilliseconds, Math.max(minTimeoutMilliseconds, timeout));
  }

  /**
   * Gets whether an owner let a deadline pass and was not heard since.
   * @param owner - The owner.
   * @param now - Current time.
   */
  isUnresponsive(owner: string, now: Instant): boolean {
    return now < (this.statesByOwner.get(owner)?.unresponsiveUntil ?? 0);
  }

  /**
   * Takes over the round trip of an answer.
   * @param owner - Owner that answered.
   * @param milliseconds - Time from the question to the answer.
   */
  addRoundTrip(owner: string, milliseconds: number): void {
    const state = this.getState(owner);
    const difference = milliseconds - state.roundTripMilliseconds;
    state.roundTripMilliseconds += difference * roundTripSmoothingRatio;
    state.deviationMilliseconds +=
      (Math.abs(difference) - state.deviationMilliseconds) * deviationSmoothingRatio;
  }

  /**
   * Notes that an owner let a deadline pass; the next deadline is later.
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
   * Notes that an owner is not to be asked for a while.
   * @param owner - The owner.
   * @param now - Current time.
   */
  setUnresponsive(owner: string, now: Instant): void {
    this.getState(owner).unresponsiveUntil = now + unresponsiveMilliseconds;
  }

  /**
   * Notes that an owner was heard.
   * @param owner - The owner.
   */
  setResponsive(owner: string): void {
    const state = this.statesByOwner.get(owner);
    if (state !== undefined) {
      state.unresponsiveUntil = 0;
    }
  }

  /**
   * Forgets an owner.
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
