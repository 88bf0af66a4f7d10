export type { Envelope, ReceivedPart } from "./DatagramCodec.js";
export { Datagrams, headerBytes, maxDatagramAgeMilliseconds } from "./Datagrams.js";
export type { DatagramCounts, DatagramSender, DatagramsParts } from "./Datagrams.js";
export { dropReasons } from "./drops.js";
export type { DropCounts, DropReason } from "./drops.js";
export { datagramTopics, splitList } from "./topics.js";
export type { DatagramPart, DatagramTopic } from "./topics.js";
