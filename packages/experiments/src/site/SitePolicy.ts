import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

/** The upstream of a request, and the engine that its cached prefix is transferred from. */
export interface SiteChoice {
  readonly upstream: SiteUpstream;
  readonly kvCacheSource: SiteUpstream | undefined;
}

/** The decisions of one router. Each router has its own view of the upstreams. */
export interface SitePolicy {
  /**
   * Chooses the upstream of a request, or returns undefined if there is none.
   * @param request - Request to send.
   * @param tried - Ids of the upstreams that the request was already sent to.
   */
  chooseUpstream(request: SiteRequest, tried: ReadonlySet<string>): SiteChoice | undefined;
  /** Records that a request is sent to an upstream. */
  recordStart(upstream: SiteUpstream): void;
  /** Records the load that an upstream reported with its response. */
  recordReportedLoad(upstream: SiteUpstream, load: number): void;
  /** Records the end of an attempt. */
  recordEnd(upstream: SiteUpstream, outcome: "whole" | "left" | "lost" | "unreached"): void;
  /** Replaces the upstreams by those that the registry lists now. */
  setUpstreams(upstreams: readonly SiteUpstream[]): void;
  /** Receives the number of requests that another router has in flight, by upstream. */
  receiveRunningCounts(router: number, running: Readonly<Record<string, number>>): void;
  /** Gets the number of requests that this router has in flight, by upstream. */
  getRunningCounts(): Readonly<Record<string, number>>;
}

/** Creates the policy of one router. */
export type SitePolicyFactory = (router: number, zone: string, getNow: () => number) => SitePolicy;
