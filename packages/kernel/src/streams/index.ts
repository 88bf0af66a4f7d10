export { maxViewLagMilliseconds } from "./constants.js";
export { pickKeepers } from "./pickKeepers.js";
export { StreamVersions } from "./StreamVersions.js";
export { VersionHistory, type FormerVersion, type RegistryList } from "./VersionHistory.js";
