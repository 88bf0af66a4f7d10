export { createOperationsApplication } from "./createOperationsApplication.js";
export { OperationsView } from "./OperationsView.js";
export type { DaemonPhase } from "./OperationsView.js";
