export { ConditionTimeoutError } from "./ConditionTimeoutError.js";
export { ControlError } from "./ControlError.js";
export { ExperimentError } from "./ExperimentError.js";
export { formatEnd, ProcessExitError, type ProcessEnd } from "./ProcessExitError.js";
export { MissingGarbageCollectorError } from "./MissingGarbageCollectorError.js";
export { UnknownProcessError } from "./UnknownProcessError.js";
