import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** Where a request goes, and which engine hands over its prefix. */
export interface SiteChoice {
  readonly upstream: SiteUpstream;
  readonly kvCacheSource: SiteUpstream | undefined;
}

/** What one router decides; each has its own view of the upstreams. */
export interface SitePolicy {
  /**
   * Chooses the upstream of a request; undefined when there is none.
   * @param request - Request to send.
   * @param tried - Ids of upstreams that it was sent to before.
   */
  chooseUpstream(request: SiteRequest, tried: ReadonlySet<string>): SiteChoice | undefined;
  recordStart(upstream: SiteUpstream): void;
  /** The answer has begun and told the upstream's load. */
  recordReportedLoad(upstream: SiteUpstream, load: number): void;
  recordEnd(upstream: SiteUpstream, outcome: "whole" | "left" | "lost" | "unreached"): void;
  /** The registry's list has changed. */
  setUpstreams(upstreams: readonly SiteUpstream[]): void;
  /** Takes what another router has in flight. */
  receiveRunningCounts(router: number, running: Readonly<Record<string, number>>): void;
  getRunningCounts(): Readonly<Record<string, number>>;
}

/** Creates the policy of one router. */
export type SitePolicyFactory = (router: number, zone: string, getNow: () => number) => SitePolicy;
