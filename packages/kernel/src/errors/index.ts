export { ConfigurationError } from "./ConfigurationError.js";
export { DuplicatePluginError } from "./DuplicatePluginError.js";
export { InvalidPeerMessageError } from "./InvalidPeerMessageError.js";
export { KernelError } from "./KernelError.js";
export { PlacementNotStartedError } from "./PlacementNotStartedError.js";
export { UnknownPluginError } from "./UnknownPluginError.js";
