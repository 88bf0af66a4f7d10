export { allKnowing, leastLoaded } from "./baselines.js";
export { KernelSitePolicy } from "./KernelSitePolicy.js";
export { PromptCache, type PromptBlock } from "./PromptCache.js";
export { siteScenarios, type SiteScenario } from "./scenarios.js";
export type { KindFigures, SiteFigures } from "./SiteMeter.js";
export type { SiteChoice, SitePolicy, SitePolicyFactory } from "./SitePolicy.js";
export { SiteRun } from "./SiteRun.js";
