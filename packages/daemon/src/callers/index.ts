export { ResponseWriter, toProblemBody } from "./ResponseWriter.js";
export type { ResponseHeaders } from "./ResponseWriter.js";
export { CallerRequestPipeline } from "./CallerRequestPipeline.js";
export type { CallerRequest } from "./CallerRequest.js";
export { createCallersApplication } from "./createCallersApplication.js";
