export { DaemonAddressError } from "./DaemonAddressError.js";
export { DaemonAnswerError } from "./DaemonAnswerError.js";
export { FileError } from "./FileError.js";
export { MissingDaemonError } from "./MissingDaemonError.js";
export { ToolError } from "./ToolError.js";
export { UnknownRequestError } from "./UnknownRequestError.js";
export { UnreachableDaemonError } from "./UnreachableDaemonError.js";
