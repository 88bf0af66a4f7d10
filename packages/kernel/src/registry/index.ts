export type { HistoryLost, Registry, RegistryChange, RegistryNews } from "./messages.js";
