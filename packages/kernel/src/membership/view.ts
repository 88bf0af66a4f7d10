import type { Instant } from "../kernel/index.js";

/** Whether an upstream host may get new work. */
export type HostState = "eligible" | "suspect" | "leaving" | "down" | "damped";

/** Reason for the state of a host. */
export type HostReason =
  | "ok"
  | "listed-leaving"
  | "said-leaving"
  | "no-address"
  | "connect-failed"
  | "reported-down"
  | "zone-unreachable"
  | "flapping"
  | "refused"
  | "unchecked"
  | "delisted";

/** One engine or service host, as known to this daemon. */
export interface HostView {
  readonly name: string;
  readonly role: "engine" | "service";
  readonly zone: string;
  readonly address: string | undefined;
  readonly state: HostState;
  readonly reason: HostReason;
  /** Instant from which a damped host is used again. */
  readonly reuseAt: Instant | undefined;
}

/** Whether another daemon has recently sent a heartbeat. */
export type DaemonState = "live" | "suspect" | "lost";

/** One entry host, as known to this daemon. */
export interface DaemonView {
  readonly name: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly state: DaemonState;
  /** True while the platform lists the host. */
  readonly isListed: boolean;
  readonly isLeaving: boolean;
  readonly peerAddress: string | undefined;
  readonly datagramAddress: string | undefined;
  readonly operationsAddress: string | undefined;
}

/** The hosts, as known to this daemon; updated in place by the plug-in, read-only for others. */
export interface MembershipView {
  readonly hosts: ReadonlyMap<string, HostView>;
  readonly daemons: ReadonlyMap<string, DaemonView>;
  /** Time of the newest message; a view older than `pauseMilliseconds` must not be used. */
  readonly lastMessageAt: Instant;
}
