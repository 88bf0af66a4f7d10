export { AnswerSink, toProblemBody } from "./AnswerSink.js";
export type { AnswerHeaders } from "./AnswerSink.js";
export { CallerGate } from "./CallerGate.js";
export type { CallerRequest } from "./CallerRequest.js";
export { createCallersApplication } from "./createCallersApplication.js";
