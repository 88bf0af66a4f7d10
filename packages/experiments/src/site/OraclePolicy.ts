import type { SiteChoice, SitePolicy } from "./SitePolicy.js";
import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** Gets the score of an upstream for a request; the lowest score is the best. */
export type Score = (upstream: SiteUpstream, request: SiteRequest) => number;

/** Reads the actual state of every upstream and chooses the one with the lowest score. */
export class OraclePolicy implements SitePolicy {
  private upstreams: readonly SiteUpstream[] = [];

  private constructor(private readonly getScore: Score) {}

  /**
   * Creates the policy of one router.
   * @param getScore - Gets the score of an upstream.
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
    // Not needed: the score reads the actual state.
  }

  recordReportedLoad(): void {
    // Not needed: the score reads the actual state.
  }

  recordEnd(): void {
    // Not needed: the score reads the actual state.
  }

  setUpstreams(upstreams: readonly SiteUpstream[]): void {
    this.upstreams = upstreams;
  }

  receiveRunningCounts(): void {
    // Not needed: the score reads the actual state.
  }

  getRunningCounts(): Readonly<Record<string, number>> {
    return {};
  }
}
