export type { Peer } from "./OwnStreams.js";
export { StreamDirectory, type StreamDirectoryDependencies } from "./StreamDirectory.js";
export {
  decodeStreamMessage,
  encodeStreamMessage,
  isStreamDatagram,
  type StreamMessage,
} from "./streamMessages.js";
