export { choosePeer, type PeerRequirements } from "./choosePeer.js";
export { FleetGossip, type FleetGossipOptions, type GossipOutcome } from "./FleetGossip.js";
export { NoticeQueue } from "./NoticeQueue.js";
export { FleetView, peerTimeoutMilliseconds } from "./FleetView.js";
export type { FleetMessage, FleetNotice, MemberState } from "./messages.js";
