import type { SiteChoice, SitePolicy, SitePolicyFactory } from "./SitePolicy.js";
import type { SiteRequest } from "./SiteRequest.js";
import type { SiteUpstream } from "./SiteUpstream.js";

type Score = (upstream: SiteUpstream, request: SiteRequest) => number;

/** A policy that knows the true state of every upstream and takes the one with the lowest score. */
class KnowingPolicy implements SitePolicy {
  private upstreams: readonly SiteUpstream[] = [];

  private constructor(private readonly getScore: Score) {}

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

/** Tokens that count as much as one request more on an engine. */
const tokensPerRequest = 400;

/** Takes the least loaded upstream, whatever it holds of the prompt. */
export const leastLoaded: SitePolicyFactory = () =>
  KnowingPolicy.create((upstream) => upstream.getLoad() * upstream.slowness);

/** Knows every cache, load and speed at this moment, and weighs tokens to read against load. */
export const allKnowing: SitePolicyFactory = () =>
  KnowingPolicy.create((upstream, { parts }) => {
    const prompt = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const unread = prompt - upstream.cache.getKeptTokens(parts);
    return (unread + upstream.getLoad() * tokensPerRequest) * upstream.slowness;
  });
