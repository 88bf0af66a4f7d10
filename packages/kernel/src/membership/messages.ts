import type { Engine, Service } from "../configuration/index.js";
import type { Host } from "../hosts/index.js";
import type { Instant } from "../kernel/index.js";
import type { HostGuard } from "./guards.js";
import type { HealthReport, Observation } from "./healthReports.js";
import type { DaemonView, HostView, MembershipView } from "./view.js";

/** Name and zone of this daemon; the first message. */
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

/** Evidence that this daemon got from an upstream host directly, by a request or a probe. */
export interface ObservationMessage {
  readonly kind: "observed" | "probed";
  readonly host: string;
  readonly observation: Observation;
  /** Time of the evidence: the time that a load report states, or when the probe was sent. */
  readonly at: Instant;
  /** Incarnation of the host's process, if the host reports it. */
  readonly incarnation?: number;
}

/** A health report from another daemon. */
export interface PeerHealthReportMessage extends HealthReport {
  readonly kind: "peerHealthReport";
  readonly from: string;
}

/** A heartbeat of another daemon was received. */
export interface HeartbeatMessage {
  readonly kind: "heartbeat";
  readonly daemon: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly at: Instant;
}

/** Advances the time; sent every `tickPeriodMilliseconds`. */
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

/** The view changed; `hosts` and `daemons` hold the changed entries. */
export interface ChangedEffect {
  readonly kind: "changed";
  readonly view: MembershipView;
  readonly hosts: readonly HostView[];
  readonly daemons: readonly DaemonView[];
  readonly removed: readonly string[];
}

/** Health reports to put into the next gossip message. */
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

/**
 * The view is stale: ask peers for their health reports (see `getHealthReports`) and the platform
 * for its host list.
 */
export interface RefreshEffect {
  readonly kind: "refresh";
}

export type MembershipEffect = ChangedEffect | GossipEffect | ProbeEffect | RefreshEffect;
