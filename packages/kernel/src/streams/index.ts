export { askedKeeperCount, streamLifetimeMilliseconds, toldKeeperCount } from "./constants.js";
export { pickKeepers } from "./pickKeepers.js";
export { StreamVersions } from "./StreamVersions.js";
export { VersionHistory, type RegistryList } from "./VersionHistory.js";
