export { decodeDatagram, decodeNotices, encodeDatagram, encodeNotices } from "./datagramCodec.js";
export { FleetTask, type FleetDependencies, type OwnState } from "./FleetTask.js";
export { peerStatePath, type PeerState } from "./peerState.js";
export { PeerStateTask, type PeerStateDependencies } from "./PeerStateTask.js";
