export { AdmissionError } from "./AdmissionError.js";
export { admissionPlugin } from "./admissionPlugin.js";
export { DeadlinePassedError } from "./DeadlinePassedError.js";
export { DeadlineUnreachableError } from "./DeadlineUnreachableError.js";
export { teamTotalSchema } from "./messages.js";
export type {
  AdmissionEffect,
  AdmissionGuard,
  AdmissionMessage,
  AdmitEffect,
  ExpireEffect,
  RefuseEffect,
  TeamTotal,
} from "./messages.js";
export { QueueFullError } from "./QueueFullError.js";
export type { AdmissionState } from "./state.js";
export { UnknownTeamError } from "./UnknownTeamError.js";
