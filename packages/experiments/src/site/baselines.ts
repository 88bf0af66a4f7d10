import { OraclePolicy } from "./OraclePolicy.js";
import type { SitePolicyFactory } from "./SitePolicy.js";

/** Tokens that count as much as one request more on an engine. */
const tokensPerRequest = 400;

/** Takes the least loaded upstream, whatever it holds of the prompt. */
export const leastLoaded: SitePolicyFactory = () =>
  OraclePolicy.create((upstream) => upstream.getLoad() * upstream.slowness);

/** Knows every cache, load and speed at this moment, and weighs tokens to read against load. */
export const allKnowing: SitePolicyFactory = () =>
  OraclePolicy.create((upstream, { blocks }) => {
    const promptTokens = blocks.reduce((sum, { tokens }) => sum + tokens, 0);
    const uncachedTokens = promptTokens - upstream.cache.getCachedTokens(blocks);
    return (uncachedTokens + upstream.getLoad() * tokensPerRequest) * upstream.slowness;
  });
