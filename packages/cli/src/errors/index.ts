export { DaemonAddressError } from "./DaemonAddressError.js";
export { DaemonResponseError } from "./DaemonResponseError.js";
export { FileError } from "./FileError.js";
export { MissingDaemonError } from "./MissingDaemonError.js";
export { CliError } from "./CliError.js";
export { UnknownRequestError } from "./UnknownRequestError.js";
export { UnreachableDaemonError } from "./UnreachableDaemonError.js";
