export { choosePeer, type PeerRequirements } from "./choosePeer.js";
export { FleetGossip, type FleetGossipOptions, type GossipOutcome } from "./FleetGossip.js";
export type { WaitingNotices } from "./NoticeLane.js";
export { getNoticeBytes } from "./noticeBytes.js";
export { isHint, NoticeQueue, type NoticeQueueOptions } from "./NoticeQueue.js";
export { FleetView, peerTimeoutMilliseconds } from "./FleetView.js";
export { noticeKinds, type FleetMessage, type FleetNotice, type MemberState } from "./messages.js";
