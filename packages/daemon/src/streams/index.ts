export { StreamDirectory, type StreamDirectoryDependencies } from "./StreamDirectory.js";
export { decodeStreamMessage, encodeStreamMessage, type StreamMessage } from "./streamMessages.js";
