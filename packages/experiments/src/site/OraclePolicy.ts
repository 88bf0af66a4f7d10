import type { SiteChoice, SitePolicy } from "./SitePolicy.js";
import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** Rates an upstream for a request; the lowest is the best. */
export type Score = (upstream: SiteUpstream, request: SiteRequest) => number;

/** A policy that knows the true state of every upstream and takes the one with the lowest score. */
export class OraclePolicy implements SitePolicy {
  private upstreams: readonly SiteUpstream[] = [];

  private constructor(private readonly getScore: Score) {}

  /**
   * Creates the policy of one router.
   * @param getScore - Rates an upstream.
   */
  static create(getScore: Score): OraclePolicy {
    return new OraclePolicy(getScore);
  }

  chooseUpstream(request: SiteRequest, tried: ReadonlySet<string>): SiteChoice | undefined {
    const usable = this.upstreams.filter(
      ({ record, isReachable }) =>
        isReachable &&
        record.state === "ready" &&
        record.service === request.kind.service &&
        !tried.has(record.id),
    );
    const scores = usable.map((upstream) => this.getScore(upstream, request));
    const upstream = usable[scores.indexOf(Math.min(...scores))];
    return upstream && { upstream, kvCacheSource: undefined };
  }

  recordStart(): void {
    // It reads what is true.
  }

  recordReportedLoad(): void {
    // It reads what is true.
  }

  recordEnd(): void {
    // It reads what is true.
  }

  setUpstreams(upstreams: readonly SiteUpstream[]): void {
    this.upstreams = upstreams;
  }

  receiveRunningCounts(): void {
    // It reads what is true.
  }

  getRunningCounts(): Readonly<Record<string, number>> {
    return {};
  }
}
