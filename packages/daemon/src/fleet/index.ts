export { FleetTask, type FleetParts } from "./FleetTask.js";
export { peerStatePath, type PeerState } from "./peerState.js";
export { PeerStateTask, type PeerStateParts } from "./PeerStateTask.js";
