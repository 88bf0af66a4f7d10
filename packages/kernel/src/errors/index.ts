export { ConfigurationError } from "./ConfigurationError.js";
export { DuplicatePluginError } from "./DuplicatePluginError.js";
export { KernelError } from "./KernelError.js";
export { UnknownPluginError } from "./UnknownPluginError.js";
