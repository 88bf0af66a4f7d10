export { getExpectedChatAnswer, readCompleteContent } from "./answers.js";
export { Caller } from "./Caller.js";
export type { CallResult, ChatCall } from "./Caller.js";
export { callControl, waitForCondition } from "./control.js";
export { DaemonProcess } from "./DaemonProcess.js";
export { Fleet } from "./Fleet.js";
export { createConfigurationText, defaultModel, getToken } from "./layout.js";
export type { DaemonLayout, EngineLayout, FleetLayout, ServiceLayout } from "./layout.js";
export { ManagedProcess } from "./ManagedProcess.js";
