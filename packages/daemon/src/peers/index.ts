export type { Envelope, ReceivedPart } from "./DatagramCodec.js";
export { DatagramSocket, headerBytes, maxDatagramAgeMilliseconds } from "./DatagramSocket.js";
export type {
  DatagramCounts,
  DatagramSender,
  DatagramSocketDependencies,
} from "./DatagramSocket.js";
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
export { PeerClient } from "./PeerClient.js";
export type { Peer, PeerClientDependencies, PeerResult } from "./PeerClient.js";
export { PeerListener } from "./PeerListener.js";
export type { PeerListenerDependencies } from "./PeerListener.js";
export type { PeerHandlers } from "./router.js";
export {
  handOverAnswerSchema,
  handOverSchema,
  peerConfigurationSchema,
  revisionRequestSchema,
} from "./schema.js";
export type { HandOver, HandOverAnswer, PeerConfiguration, RevisionRequest } from "./schema.js";
