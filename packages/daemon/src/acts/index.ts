export { ActSender } from "./ActSender.js";
export { ActTask } from "./ActTask.js";
export type { ActCarrier } from "./ActTask.js";
export { actCallSchema, forwardedActSchema, forwardedAnswerSchema } from "./schema.js";
export type { ActCall, ForwardedAct, ForwardedAnswer } from "./schema.js";
