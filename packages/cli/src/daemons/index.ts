export { askDaemons } from "./askDaemons.js";
export type { Answers } from "./askDaemons.js";
export { followEvents } from "./followEvents.js";
export type { FollowedEvents } from "./followEvents.js";
export { OperationsClient } from "./OperationsClient.js";
export type { DaemonFailure } from "./OperationsClient.js";
