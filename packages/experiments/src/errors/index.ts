export { ConditionError } from "./ConditionError.js";
export { ControlError } from "./ControlError.js";
export { ExperimentError } from "./ExperimentError.js";
export { ProcessExitError } from "./ProcessExitError.js";
export { MissingCollectorError } from "./MissingCollectorError.js";
export { UnknownProcessError } from "./UnknownProcessError.js";
