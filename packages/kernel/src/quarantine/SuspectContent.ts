import type { FleetNotice } from "../fleet/index.js";
import {
  firstQuarantineMilliseconds,
  longestQuarantineMilliseconds,
  lossWindowMilliseconds,
  maxLossesPerContent,
  maxCountedRequests,
  minLostRequests,
  minLostUpstreams,
  secondQuarantineMilliseconds,
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
  private readonly losses: Loss[] = [];
  private quarantine: Quarantine | undefined;
  /** Time from which this daemon sends the content again. */
  private releasedAt = -Infinity;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a suspect content without losses. */
  static create(): SuspectContent {
    return new SuspectContent();
  }

  /**
   * Adds a loss if it proves something: one at another upstream, or of another request while those of a few
   * requests are known.
   * @returns Whether it was added.
   */
  addLoss(loss: Loss): boolean {
    const isOtherRequest = !this.losses.some(({ request }) => request === loss.request);
    const provesRequest = isOtherRequest && countRequests(this.losses) < maxCountedRequests;
    if (this.hasLossAt(loss.upstream) && !provesRequest) {
      return false;
    }
    this.losses.push(loss);
    if (this.losses.length > maxLossesPerContent) {
      this.losses.shift();
    }
    return true;
  }

  /** Checks whether a request with the content was lost at an upstream. */
  hasLossAt(upstream: number): boolean {
    return this.losses.some((loss) => loss.upstream === upstream);
  }

  /** Gets the number of upstreams at which a request with the content was lost. */
  getUpstreamCount(): number {
    return countUpstreams(this.losses);
  }

  /**
   * Checks whether this content was lost, and only at upstreams at which another one was lost too, which has
   * more losses: at more upstreams, or else of more requests.
   * @param other - The other content.
   */
  isWithin(other: SuspectContent): boolean {
    const isCommon = this.losses.every(({ upstream }) => other.hasLossAt(upstream));
    const moreUpstreams = other.getUpstreamCount() - this.getUpstreamCount();
    const moreRequests = countRequests(other.losses) - countRequests(this.losses);
    return this.losses.length > 0 && isCommon && (moreUpstreams > 0 || moreRequests > 0);
  }

  /**
   * Checks whether this content was lost at the very upstreams at which another one was lost, so that either
   * may be the cause.
   * @param other - The other content.
   */
  isAlike(other: SuspectContent): boolean {
    const isCommon = this.losses.every(({ upstream }) => other.hasLossAt(upstream));
    return (
      this.losses.length > 0 && isCommon && other.getUpstreamCount() === this.getUpstreamCount()
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
    return this.losses.filter(({ at }) => at > since);
  }

  /**
   * Checks whether losses suffice for a quarantine. After a first quarantine a single one does.
   * @param losses - Losses that count.
   */
  suffices(losses: readonly Loss[]): boolean {
    if (this.quarantine !== undefined) {
      return losses.length > 0;
    }
    return countUpstreams(losses) >= minLostUpstreams && countRequests(losses) >= minLostRequests;
  }

  /**
   * Starts a quarantine on the ground of losses.
   * @param losses - Losses that count; at least one.
   * @param now - Current time.
   * @param releaseDelayMilliseconds - Time from its end until this daemon sends the content again.
   */
  startQuarantine(
    losses: readonly Loss[],
    now: number,
    releaseDelayMilliseconds: number,
  ): Quarantine {
    const count = (this.quarantine?.count ?? 0) + 1;
    const lostSince = Math.min(...losses.map(({ at }) => at));
    const quarantine = { lostSince, endsAt: now + getQuarantineMilliseconds(count), count };
    this.setQuarantine(quarantine, releaseDelayMilliseconds);
    return quarantine;
  }

  /**
   * Adopts the quarantine of a peer if it is a later one than the known one. The end of the same one is
   * not moved, since each message would move it by its way.
   * @param quarantine - Quarantine of the peer.
   * @param releaseDelayMilliseconds - Time from its end until this daemon sends the content again.
   * @returns Whether it was adopted.
   */
  adoptQuarantine(quarantine: Quarantine, releaseDelayMilliseconds: number): boolean {
    if (this.quarantine !== undefined && quarantine.count <= this.quarantine.count) {
      return false;
    }
    this.setQuarantine(quarantine, releaseDelayMilliseconds);
    return true;
  }

  /** Gets the quarantine that this daemon still keeps to, if any; it may have ended elsewhere. */
  getQuarantine(now: number): Quarantine | undefined {
    return now < this.releasedAt ? this.quarantine : undefined;
  }

  /** Gets the time from which this daemon sends the content again. */
  getReleasedAt(): number {
    return this.releasedAt;
  }

  private setQuarantine(quarantine: Quarantine, releaseDelayMilliseconds: number): void {
    this.quarantine = quarantine;
    this.releasedAt = quarantine.endsAt + releaseDelayMilliseconds;
  }
}

function getQuarantineMilliseconds(count: number): number {
  return count === 1
    ? firstQuarantineMilliseconds
    : Math.min(secondQuarantineMilliseconds * 2 ** (count - 2), longestQuarantineMilliseconds);
}

/**
 * Counts the upstreams of losses.
 * @param losses - The losses.
 */
export function countUpstreams(losses: readonly Loss[]): number {
  return new Set(losses.map(({ upstream }) => upstream)).size;
}

function countRequests(losses: readonly Loss[]): number {
  return new Set(losses.map(({ request }) => request)).size;
}
