export { choosePeer, type PeerRequirements } from "./choosePeer.js";
export { FleetGossip, type FleetGossipOptions, type GossipOutcome } from "./FleetGossip.js";
export { NoticeQueue, type DroppedNoticeListener, type WaitingNotices } from "./NoticeQueue.js";
export { FleetView, peerTimeoutMilliseconds } from "./FleetView.js";
export { noticeKinds, type FleetMessage, type FleetNotice, type MemberState } from "./messages.js";
