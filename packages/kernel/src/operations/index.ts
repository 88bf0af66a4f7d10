export { eventPageSchema, timelineEventSchema } from "./events.js";
export type { EventPage, TimelineEvent } from "./events.js";
export { explanationSchema } from "./explanation.js";
export type { Explanation, ExplanationCandidate } from "./explanation.js";
export { routerStatusSchema, type RouterStatus } from "./routerStatus.js";
export { statusSchema } from "./status.js";
export type {
  ActTotals,
  ConfigurationStatus,
  DaemonStatus,
  EngineStatus,
  PeerStatus,
  PlatformStatus,
  RefusedConfiguration,
  ServiceStatus,
  TeamStatus,
} from "./status.js";
