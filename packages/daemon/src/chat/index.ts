export { ChatTask } from "./ChatTask.js";
export type { ChatRun } from "./ChatRun.js";
export { EngineClient } from "./EngineClient.js";
export { getEngineChatId } from "./parseChat.js";
export type { Usage } from "./StreamRelay.js";
