export type { HistoryLost, Registry, RegistryChange, RegistryUpdate } from "./messages.js";
