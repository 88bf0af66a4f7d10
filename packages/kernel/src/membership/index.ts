export { getCandidates } from "./candidates.js";
export type { Candidates, NoUsableHosts, UncheckedHosts, UsableHosts } from "./candidates.js";
export { pauseMilliseconds, probePeriodMilliseconds, tickPeriodMilliseconds } from "./constants.js";
export type { HostGuard } from "./guards.js";
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
export { hostSignSchema, packSigns, parseSigns } from "./signs.js";
export type { HostSign, Observation, PackedSigns, SignState } from "./signs.js";
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
