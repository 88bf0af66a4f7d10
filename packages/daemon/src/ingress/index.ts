export type { FlowParts } from "./FlowParts.js";
export type { FlowOutcome } from "./FlowReport.js";
export { IngressServer, type IngressParts } from "./IngressServer.js";
export { ServiceBudgets } from "./ServiceBudgets.js";
