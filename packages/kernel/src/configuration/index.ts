export { diffConfigurations } from "./diffConfigurations.js";
export type { ConfigurationChange } from "./diffConfigurations.js";
export { configurationFindingSchema, formatFinding } from "./findings.js";
export type { ConfigurationFinding } from "./findings.js";
export { getConfigurationDigest } from "./getConfigurationDigest.js";
export { parseConfiguration } from "./parseConfiguration.js";
export { configurationSchema, maxConfigurationBytes, maxConfigurationItems } from "./schema.js";
export type {
  Configuration,
  Engine,
  Model,
  Route,
  Service,
  ServiceHost,
  Team,
  Zone,
} from "./schema.js";
