import type { Host } from "../hosts/index.js";
import type { Instant } from "../kernel/index.js";
import { createDamping, type Damping } from "./damping.js";
import type { HostGuard } from "./guards.js";
import type { HealthReport } from "./healthReports.js";
import type { DaemonView, HostView, MembershipView } from "./view.js";

/** What the platform's list says about a host; `absent` once a newer list left it out. */
export type Listing = "unlisted" | "live" | "leaving" | "absent";

/** All that is known about one engine or service host. */
export interface HostRecord {
  readonly name: string;
  readonly role: "engine" | "service";
  zone: string;
  address: string | undefined;
  listing: Listing;
  /** Instant of the list that brought the present listing. */
  listedAt: Instant;
  /** Newest list revision of which a peer told that the host leaves, and when it told. */
  leavingListRevision: number;
  leavingListedAt: Instant;
  /** Start of the host's process; 0 while it is not known. */
  incarnation: number;
  /** Instant at which a new start of the host was noticed; 0 when there was none. */
  restartedAt: Instant;
  /** Version of the newest sign that the host leaves; 0 when there is none. */
  leavingVersion: number;
  /** Version of the newest sign that the host accepts work; 0 when there is none. */
  aliveVersion: number;
  /** Newest instant at which this daemon reached the host. */
  answeredAt: Instant;
  /** Newest instant at which this daemon did not reach the host, and how often in a row. */
  failedAt: Instant;
  failures: number;
  refusedAt: Instant;
  /** Instant since which the host's state is known to be true. */
  checkedAt: Instant;
  /** Versions of the `down` signs of other daemons, by daemon. */
  readonly downReports: Map<string, number>;
  readonly damping: Damping;
  nextProbeAt: Instant;
}

/** All that is known about one entry host. */
export interface DaemonRecord {
  readonly name: string;
  zone: string;
  incarnation: number;
  lastHeartbeatAt: Instant;
  /** Instant since which it is listed without a break, or of its first sign. */
  addedAt: Instant;
  /** Its entry in the newest list. */
  listed: Host | undefined;
}

/** A sign that waits to be spread. */
export interface QueuedHealthReport {
  readonly report: HealthReport;
  remainingSends: number;
}

export interface MembershipState {
  readonly seed: number;
  disabledGuards: readonly HostGuard[];
  daemon: string;
  zone: string;
  listRevision: number;
  /** Hosts of the newest list by name, kept for hosts that a later configuration names. */
  listedHosts: ReadonlyMap<string, Host>;
  listedAt: Instant;
  readonly hostRecords: Map<string, HostRecord>;
  readonly daemonRecords: Map<string, DaemonRecord>;
  readonly hosts: Map<string, HostView>;
  readonly daemons: Map<string, DaemonView>;
  /** Hosts whose state may change by time alone. */
  readonly ineligibleHosts: Set<string>;
  readonly queuedHealthReports: Map<string, QueuedHealthReport>;
  /** Zones that nothing reaches from here. */
  readonly unreachableZones: Set<string>;
  /** Hosts that this daemon probes; computed again when the daemons change. */
  probeShare: ReadonlySet<string> | undefined;
  /** The live view that is handed out. */
  readonly view: MembershipView;
  lastMessageAt: Instant;
  /** End of this process's last pause, or its start; older evidence is not trusted. */
  resumedAt: Instant;
  nextRefreshAt: Instant;
}

/**
 * Creates the state of a daemon that knows no hosts.
 * @param seed - Seed that spreads the probes in time.
 */
export function createMembershipState(seed: number): MembershipState {
  const hosts = new Map<string, HostView>();
  const daemons = new Map<string, DaemonView>();
  const state: MembershipState = {
    seed,
    disabledGuards: [],
    daemon: "",
    zone: "",
    listRevision: -1,
    listedHosts: new Map(),
    listedAt: 0,
    hostRecords: new Map(),
    daemonRecords: new Map(),
    hosts,
    daemons,
    ineligibleHosts: new Set(),
    queuedHealthReports: new Map(),
    unreachableZones: new Set(),
    probeShare: undefined,
    view: {
      hosts,
      daemons,
      get lastMessageAt() {
        return isGuardEnabled(state, "host-pause-check") ? state.lastMessageAt : Infinity;
      },
    },
    lastMessageAt: 0,
    resumedAt: 0,
    nextRefreshAt: 0,
  };
  return state;
}

/**
 * Tells whether a guard is on.
 * @param state - State to read.
 * @param guard - Guard in question.
 */
export function isGuardEnabled(state: MembershipState, guard: HostGuard): boolean {
  return !state.disabledGuards.includes(guard);
}

/**
 * Creates the record of a host about which nothing is known.
 * @param name - Name of the host.
 * @param role - Kind of the host.
 * @param zone - Availability zone of the host.
 */
export function createHostRecord(
  name: string,
  role: "engine" | "service",
  zone: string,
): HostRecord {
  return {
    name,
    role,
    zone,
    address: undefined,
    listing: "unlisted",
    listedAt: 0,
    leavingListRevision: -1,
    leavingListedAt: 0,
    incarnation: 0,
    restartedAt: 0,
    leavingVersion: 0,
    aliveVersion: 0,
    answeredAt: 0,
    failedAt: 0,
    failures: 0,
    refusedAt: 0,
    checkedAt: 0,
    downReports: new Map(),
    damping: createDamping(),
    nextProbeAt: 0,
  };
}
