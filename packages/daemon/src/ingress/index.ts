export type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
export type { ActiveRequestOutcome } from "./ActiveRequestReport.js";
export { IngressServer, type IngressDependencies } from "./IngressServer.js";
export { TickListeners } from "./TickListeners.js";
export { RetryBudgets } from "./RetryBudgets.js";
