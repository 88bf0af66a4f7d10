export { explainRequest, type RequestExplanation } from "./explainRequest.js";
export { parseLogLine, type LogLine } from "./parseLogLine.js";
export { readLogs, type LogContents } from "./readLogs.js";
export { toEvents } from "./toEvents.js";
