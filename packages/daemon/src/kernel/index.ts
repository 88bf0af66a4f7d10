export { AdmissionTask } from "./AdmissionTask.js";
export { HostDirectory } from "./HostDirectory.js";
export { HostSender } from "./HostSender.js";
export { PlacementTask } from "./PlacementTask.js";
export type { EnginePlacement } from "./PlacementTask.js";
export { RetryTask } from "./RetryTask.js";
export type { FailedAttempt } from "./RetryTask.js";
