export { awaitRecovery } from "./awaitRecovery.js";
export { getBody, getEvent, getStream } from "./bodies.js";
export { findStreamFault } from "./findStreamFault.js";
export { findViolations } from "./findViolations.js";
export {
  soakOptionsSchema,
  type CallRecord,
  type Evidence,
  type SoakOptions,
  type Violation,
} from "./schema.js";
export { Soak, type SoakResult } from "./Soak.js";
export { StallWatch } from "./StallWatch.js";
