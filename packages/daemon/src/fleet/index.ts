export { FleetTask, type FleetDependencies } from "./FleetTask.js";
export { peerStatePath, type PeerState } from "./peerState.js";
export { PeerStateTask, type PeerStateDependencies } from "./PeerStateTask.js";
