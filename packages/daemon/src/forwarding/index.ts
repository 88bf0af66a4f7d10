export { ForwardingServer, type ForwardingServerDependencies } from "./ForwardingServer.js";
export { maxForwardedHeadBytes } from "./messages.js";
export { PeerForwarder, type PeerForwarderDependencies } from "./PeerForwarder.js";
