export { getCandidates } from "./candidates.js";
export type { Candidates, NoUsableHosts, UncheckedHosts, UsableHosts } from "./candidates.js";
export { pauseMilliseconds, probePeriodMilliseconds, tickPeriodMilliseconds } from "./constants.js";
export { getHealthReports } from "./gossip.js";
export type { HostGuard } from "./guards.js";
export { healthReportSchema, packHealthReports, parseHealthReports } from "./healthReports.js";
export type {
  HealthReport,
  HealthReportState,
  Observation,
  PackedHealthReports,
} from "./healthReports.js";
export { getView, membershipPlugin } from "./membershipPlugin.js";
export type {
  ChangedEffect,
  GossipEffect,
  MembershipEffect,
  MembershipMessage,
  ObservationMessage,
  PeerHealthReportMessage,
  ProbeEffect,
  RefreshEffect,
} from "./messages.js";
export { getProber } from "./probes.js";
export type { MembershipState } from "./state.js";
export type {
  DaemonState,
  DaemonView,
  HostReason,
  HostState,
  HostView,
  MembershipView,
} from "./view.js";
