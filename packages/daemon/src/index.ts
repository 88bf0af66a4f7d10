export { getEngineChatId } from "./chat/index.js";
export { Daemon } from "./daemon/index.js";
export { SettingsError } from "./errors/index.js";
export type { SettingsIssue } from "./errors/index.js";
export { isRouterSettings, parseSettings, settingsSchema } from "./settings/index.js";
export type { Settings } from "./settings/index.js";
export * from "./streams/index.js";
export { decodeDatagram, encodeDatagram } from "./fleet/datagramCodec.js";
export {
  canConnect,
  ConnectionPool,
  Exchange,
  ReadPacer,
  type ExchangeListener,
} from "./exchange/index.js";
export { FleetTask } from "./fleet/FleetTask.js";
export { CompleteEventBuffer } from "./ingress/CompleteEventBuffer.js";
export { TickListeners } from "./ingress/index.js";
export type { ActiveRequestOutcome } from "./ingress/index.js";
export { StreamLog, type LogOutput } from "./log/StreamLog.js";
export {
  FollowingRegistry,
  RegistryTask,
  relayedUpdateSchema,
  type RelayedUpdate,
} from "./registry/index.js";
export {
  getStartShare,
  parseRouterSettings,
  Router,
  routerSettingsSchema,
} from "./router/index.js";
export type { RouterSettings } from "./router/index.js";
