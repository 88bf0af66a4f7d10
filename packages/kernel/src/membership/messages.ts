import type { Engine, Service } from "../configuration/index.js";
import type { Host } from "../hosts/index.js";
import type { Instant } from "../kernel/index.js";
import type { HostGuard } from "./guards.js";
import type { HealthReport, Observation } from "./healthReports.js";
import type { DaemonView, HostView, MembershipView } from "./view.js";

/** Who this daemon is; the first message. */
export interface IdentityMessage {
  readonly kind: "identity";
  readonly daemon: string;
  readonly zone: string;
  readonly disabledGuards?: readonly HostGuard[];
}

/** The upstream hosts of an accepted configuration. */
export interface UpstreamsMessage {
  readonly kind: "configured";
  readonly engines: readonly Engine[];
  readonly services: readonly Service[];
}

/** A host list that was read from the platform. */
export interface HostListMessage {
  readonly kind: "hostList";
  readonly revision: number;
  readonly hosts: readonly Host[];
  readonly at: Instant;
}

/** Evidence that this daemon got from an upstream host itself, by a request or a probe. */
export interface ObservationMessage {
  readonly kind: "observed" | "probed";
  readonly host: string;
  readonly observation: Observation;
  /** Instant at which the evidence held: a report's own time, or when the probe was sent. */
  readonly at: Instant;
  /** Start of the host's process, where the host tells it. */
  readonly incarnation?: number;
}

/** A sign that another daemon passed on. */
export interface PeerHealthReportMessage extends HealthReport {
  readonly kind: "peerHealthReport";
  readonly from: string;
}

/** Another daemon was heard of. */
export interface HeartbeatMessage {
  readonly kind: "heartbeat";
  readonly daemon: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly at: Instant;
}

/** Time passes; sent every `tickPeriodMilliseconds`. */
export interface MembershipTickMessage {
  readonly kind: "tick";
  readonly at: Instant;
}

export type MembershipMessage =
  | IdentityMessage
  | UpstreamsMessage
  | HostListMessage
  | ObservationMessage
  | PeerHealthReportMessage
  | HeartbeatMessage
  | MembershipTickMessage;

/** The view changed; `hosts` and `daemons` hold the entries that did. */
export interface ChangedEffect {
  readonly kind: "changed";
  readonly view: MembershipView;
  readonly hosts: readonly HostView[];
  readonly daemons: readonly DaemonView[];
  readonly removed: readonly string[];
}

/** Signs to put into the next digest. */
export interface GossipEffect {
  readonly kind: "gossip";
  readonly reports: readonly HealthReport[];
}

/** A host to probe now. */
export interface ProbeEffect {
  readonly kind: "probe";
  readonly host: string;
  readonly role: "engine" | "service";
  readonly address: string;
}

/** The views are old: ask a peer for its signs (see `getSigns`) and the platform for its list. */
export interface RefreshEffect {
  readonly kind: "refresh";
}

export type MembershipEffect = ChangedEffect | GossipEffect | ProbeEffect | RefreshEffect;
