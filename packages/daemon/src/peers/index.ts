export type { Envelope, ReceivedPart } from "./DatagramCodec.js";
export { Datagrams, headerBytes, maxDatagramAgeMilliseconds } from "./Datagrams.js";
export type { DatagramCounts, DatagramSender, DatagramsParts } from "./Datagrams.js";
export { dropReasons } from "./drops.js";
export type { DropCounts, DropReason } from "./drops.js";
export { datagramTopics, splitList } from "./topics.js";
export type { DatagramPart, DatagramTopic } from "./topics.js";
export {
  PeerCallError,
  PeerForgedError,
  PeerLostError,
  PeerRefusedError,
  PeerTimeoutError,
  PeerUnreachableError,
} from "./errors/index.js";
export { PeerCalls } from "./PeerCalls.js";
export type { Peer, PeerCallsParts, PeerResult } from "./PeerCalls.js";
export { PeerListener } from "./PeerListener.js";
export type { PeerListenerParts } from "./PeerListener.js";
export type { PeerHandlers } from "./router.js";
export {
  handOverAnswerSchema,
  handOverSchema,
  peerConfigurationSchema,
  revisionRequestSchema,
} from "./schema.js";
export type { HandOver, HandOverAnswer, PeerConfiguration, RevisionRequest } from "./schema.js";
