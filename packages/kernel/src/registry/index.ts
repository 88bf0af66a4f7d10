export { chooseReader, type ReaderRequirements } from "./chooseReader.js";
export type { HistoryLost, Registry, RegistryChange, RegistryUpdate } from "./messages.js";
export { RegistryEra, type EraComparison } from "./RegistryEra.js";
export { RegistryHistory } from "./RegistryHistory.js";
