import { KnowingPolicy } from "./KnowingPolicy.js";
import type { SitePolicyFactory } from "./SitePolicy.js";

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
