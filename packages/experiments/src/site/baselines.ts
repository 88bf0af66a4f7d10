import { OraclePolicy } from "./OraclePolicy.js";
import type { SitePolicyFactory } from "./SitePolicy.js";

/** Number of tokens to prefill that weighs as much as one more request on the engine. */
const tokensPerRequest = 400;

/** Chooses by load and slowness only, whatever an upstream has cached of the prompt. */
export const leastLoaded: SitePolicyFactory = () =>
  OraclePolicy.create((upstream) => upstream.getLoad() * upstream.slowness);

/** Chooses by the tokens to prefill, load and slowness. */
export const allKnowing: SitePolicyFactory = () =>
  OraclePolicy.create((upstream, { blocks }) => {
    const promptTokens = blocks.reduce((sum, { tokens }) => sum + tokens, 0);
    const uncachedTokens = promptTokens - upstream.cache.getCachedTokens(blocks);
    return (uncachedTokens + upstream.getLoad() * tokensPerRequest) * upstream.slowness;
  });
