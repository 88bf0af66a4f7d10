export { getCandidates } from "./candidates.js";
export type { Candidates, NoUsableHosts, UncheckedHosts, UsableHosts } from "./candidates.js";
export { pauseMilliseconds, probePeriodMilliseconds, tickPeriodMilliseconds } from "./constants.js";
export { getView, membershipPlugin } from "./membershipPlugin.js";
export type {
  ChangedEffect,
  MembershipEffect,
  MembershipMessage,
  ObservationMessage,
  PeerSignMessage,
  ProbeEffect,
  RefreshEffect,
  SpreadEffect,
} from "./messages.js";
export { getProber } from "./probes.js";
export { hostSignSchema } from "./signs.js";
export type { HostSign, Observation, SignState } from "./signs.js";
export { getSigns } from "./spread.js";
export type { MembershipState } from "./state.js";
export type {
  DaemonState,
  DaemonView,
  HostReason,
  HostState,
  HostView,
  MembershipView,
} from "./view.js";
