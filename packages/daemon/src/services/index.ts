export { getForwardedHeaders } from "./headers.js";
export { ServiceClient } from "./ServiceClient.js";
export type { ServiceResponse } from "./ServiceClient.js";
export type { ServiceCall } from "./ServiceCall.js";
export { ServiceTask } from "./ServiceTask.js";
