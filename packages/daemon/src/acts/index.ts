export { ActSender } from "./ActSender.js";
export { ActTask } from "./ActTask.js";
export { getKeyedActProblem } from "./problems.js";
export type { ActTransport } from "./ActTask.js";
export { actCallSchema, forwardedActSchema, forwardedAnswerSchema } from "./schema.js";
export type { ActCall, ForwardedAct, ForwardedAnswer } from "./schema.js";
