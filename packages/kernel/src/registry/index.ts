export type { HistoryLost, Registry, RegistryChange, RegistryUpdate } from "./messages.js";
export { RegistryEra, type EraComparison } from "./RegistryEra.js";
