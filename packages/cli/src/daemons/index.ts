export { queryDaemons } from "./queryDaemons.js";
export type { DaemonResponses } from "./queryDaemons.js";
export { followEvents } from "./followEvents.js";
export type { FollowedEvents } from "./followEvents.js";
export { OperationsClient } from "./OperationsClient.js";
export type { DaemonFailure } from "./OperationsClient.js";
