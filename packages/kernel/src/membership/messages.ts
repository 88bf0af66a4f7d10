import type { Engine, Service } from "../configuration/index.js";
import type { Host } from "../hosts/index.js";
import type { Instant } from "../kernel/index.js";
import type { HostGuard } from "./guards.js";
import type { HostSign, Observation } from "./signs.js";
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
  readonly sign: Observation;
  /** Instant at which the evidence held: a report's own time, or when the probe was sent. */
  readonly at: Instant;
  /** Start of the host's process, where the host tells it. */
  readonly incarnation?: number;
}

/** A sign that another daemon passed on. */
export interface PeerSignMessage extends HostSign {
  readonly kind: "peerSign";
  readonly from: string;
}

/** Another daemon was heard of. */
export interface HeardMessage {
  readonly kind: "heard";
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
  | PeerSignMessage
  | HeardMessage
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
export interface SpreadEffect {
  readonly kind: "spread";
  readonly signs: readonly HostSign[];
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

export type MembershipEffect = ChangedEffect | SpreadEffect | ProbeEffect | RefreshEffect;
