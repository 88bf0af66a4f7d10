import type { FleetNotice } from "../fleet/index.js";
import {
  firstQuarantineMilliseconds,
  longestQuarantineMilliseconds,
  lossWindowMilliseconds,
  maxLossesPerContent,
  minLostRequests,
  minLostUpstreams,
} from "./constants.js";

/** A request with the content whose connection ended with its upstream. */
export type Loss = Extract<FleetNotice, { kind: "loss" }>;

/** The time in which requests with a content are refused. Times are monotonic milliseconds. */
export interface Quarantine {
  /** Time of the first loss that it is based on; a later success ends it. */
  readonly lostSince: number;
  readonly endsAt: number;
  /** How often the content has been quarantined, this time included. */
  readonly count: number;
}

/** A content of requests under which upstreams have ended. Times are monotonic milliseconds. */
export class SuspectContent {
  private readonly lossesByUpstream = new Map<number, Loss>();
  private quarantine: Quarantine | undefined;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a suspect content without losses. */
  static create(): SuspectContent {
    return new SuspectContent();
  }

  /**
   * Adds a loss; only the first at each upstream counts.
   * @returns False if one at this upstream was known.
   */
  addLoss(loss: Loss): boolean {
    if (this.lossesByUpstream.has(loss.upstream)) {
      return false;
    }
    this.lossesByUpstream.set(loss.upstream, loss);
    const [oldest] = this.lossesByUpstream.keys();
    if (this.lossesByUpstream.size > maxLossesPerContent && oldest !== undefined) {
      this.lossesByUpstream.delete(oldest);
    }
    return true;
  }

  /** Checks whether a request with the content was lost at an upstream. */
  hasLossAt(upstream: number): boolean {
    return this.lossesByUpstream.has(upstream);
  }

  /** Gets the number of upstreams at which a request with the content was lost. */
  getUpstreamCount(): number {
    return this.lossesByUpstream.size;
  }

  /**
   * Checks whether this content was lost, and at some of the upstreams only at which another one was lost.
   * @param other - The other content.
   */
  isWithin(other: SuspectContent): boolean {
    const upstreams = [...this.lossesByUpstream.keys()];
    return (
      upstreams.length > 0 &&
      upstreams.length < other.getUpstreamCount() &&
      upstreams.every((upstream) => other.hasLossAt(upstream))
    );
  }

  /**
   * Gets the losses that count: those after the last quarantine and the last success.
   * @param now - Current time.
   * @param trustedUntil - Losses up to this time are disproved by a success.
   */
  getLosses(now: number, trustedUntil: number): readonly Loss[] {
    const quarantinedUntil = this.quarantine?.endsAt ?? -Infinity;
    const since = Math.max(now - lossWindowMilliseconds, trustedUntil, quarantinedUntil);
    return [...this.lossesByUpstream.values()].filter(({ at }) => at > since);
  }

  /**
   * Checks whether losses suffice for a quarantine. After a first quarantine a single one does.
   * @param losses - Losses that count.
   */
  suffices(losses: readonly Loss[]): boolean {
    if (this.quarantine !== undefined) {
      return losses.length > 0;
    }
    const requests = new Set(losses.map(({ request }) => request));
    return losses.length >= minLostUpstreams && requests.size >= minLostRequests;
  }

  /**
   * Starts a quarantine on the ground of losses.
   * @param losses - Losses that count; at least one.
   * @param now - Current time.
   */
  startQuarantine(losses: readonly Loss[], now: number): Quarantine {
    const count = (this.quarantine?.count ?? 0) + 1;
    const milliseconds = Math.min(
      firstQuarantineMilliseconds * 2 ** (count - 1),
      longestQuarantineMilliseconds,
    );
    const lostSince = Math.min(...losses.map(({ at }) => at));
    this.quarantine = { lostSince, endsAt: now + milliseconds, count };
    return this.quarantine;
  }

  /**
   * Adopts the quarantine of a peer if it is a later one than the known one. The end of the same one is
   * not moved, since each message would move it by its way.
   * @returns Whether it was adopted.
   */
  adoptQuarantine(quarantine: Quarantine): boolean {
    if (this.quarantine !== undefined && quarantine.count <= this.quarantine.count) {
      return false;
    }
    this.quarantine = quarantine;
    return true;
  }

  /** Gets the quarantine that is in force, if any. */
  getQuarantine(now: number): Quarantine | undefined {
    return this.quarantine !== undefined && now < this.quarantine.endsAt
      ? this.quarantine
      : undefined;
  }
}
