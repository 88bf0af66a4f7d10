export { ChatTask } from "./ChatTask.js";
export type { ChatRequest } from "./ChatRequest.js";
export { EngineClient } from "./EngineClient.js";
export { getEngineChatId } from "./parseChat.js";
export type { Usage } from "./StreamRelay.js";
