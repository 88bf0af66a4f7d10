import type { SiteChoice, SitePolicy } from "./SitePolicy.js";
import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** Rates an upstream for a request; the lowest is the best. */
export type Score = (upstream: SiteUpstream, request: SiteRequest) => number;

/** A policy that knows the true state of every upstream and takes the one with the lowest score. */
export class KnowingPolicy implements SitePolicy {
  private upstreams: readonly SiteUpstream[] = [];

  private constructor(private readonly getScore: Score) {}

  /**
   * Creates the policy of one router.
   * @param getScore - Rates an upstream.
   */
  static create(getScore: Score): KnowingPolicy {
    return new KnowingPolicy(getScore);
  }

  choose(request: SiteRequest, tried: ReadonlySet<string>): SiteChoice | undefined {
    const usable = this.upstreams.filter(
      ({ record, isAlive }) =>
        isAlive &&
        record.state === "ready" &&
        record.service === request.kind.service &&
        !tried.has(record.id),
    );
    const scores = usable.map((upstream) => this.getScore(upstream, request));
    const upstream = usable[scores.indexOf(Math.min(...scores))];
    return upstream && { upstream, fetchFrom: undefined };
  }

  started(): void {
    // It reads what is true.
  }

  reported(): void {
    // It reads what is true.
  }

  ended(): void {
    // It reads what is true.
  }

  listed(upstreams: readonly SiteUpstream[]): void {
    this.upstreams = upstreams;
  }

  heard(): void {
    // It reads what is true.
  }

  getRunning(): Readonly<Record<string, number>> {
    return {};
  }
}
