export { DaemonError } from "./DaemonError.js";
export { PlatformStatusError } from "./PlatformStatusError.js";
export { PlatformUnreachableError } from "./PlatformUnreachableError.js";
export { Problem, problemStatuses } from "./Problem.js";
export type { Outcome, OutcomeSubject, ProblemName } from "./Problem.js";
export { SettingsError } from "./SettingsError.js";
export type { SettingsIssue } from "./SettingsError.js";
