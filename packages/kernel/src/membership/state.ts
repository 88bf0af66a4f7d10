import type { Host } from "../hosts/index.js";
import type { Instant } from "../kernel/index.js";
import { createDamping, type Damping } from "./damping.js";
import type { HostGuard } from "./guards.js";
import type { HealthReport } from "./healthReports.js";
import type { DaemonView, HostView, MembershipView } from "./view.js";

/**
 * State of a host in the platform's list: `unlisted` when no list has had it yet, `absent` when a newer
 * list no longer has it.
 */
export type Listing = "unlisted" | "live" | "leaving" | "absent";

/** Evidence about one engine or service host. */
export interface HostRecord {
  readonly name: string;
  readonly role: "engine" | "service";
  zone: string;
  address: string | undefined;
  listing: Listing;
  /** Time of the list in which `listing` last changed. */
  listedAt: Instant;
  /** Newest list revision for which a peer reported the host as leaving; -1 when there is none. */
  leavingListRevision: number;
  /** Time at which the peer reported `leavingListRevision`. */
  leavingListedAt: Instant;
  /** Incarnation of the host's process; 0 while it is not known. */
  incarnation: number;
  /** Time at which a restart of the host was detected; 0 when there was none. */
  restartedAt: Instant;
  /** Version of the newest report that the host is leaving; 0 when there is none. */
  leavingVersion: number;
  /** Version of the newest report that the host accepts work; 0 when there is none. */
  aliveVersion: number;
  /** Time at which this daemon last reached the host. */
  answeredAt: Instant;
  /** Time at which this daemon last failed to reach the host. */
  failedAt: Instant;
  /** Number of consecutive failed connections. */
  failures: number;
  refusedAt: Instant;
  /** Time of the newest evidence of whether the host accepts work. */
  checkedAt: Instant;
  /** Versions of the `down` reports of other daemons, by daemon. */
  readonly downReports: Map<string, number>;
  readonly damping: Damping;
  nextProbeAt: Instant;
}

/** Evidence about another entry host and its daemon. */
export interface DaemonRecord {
  readonly name: string;
  zone: string;
  incarnation: number;
  /** Time of the newest heartbeat; 0 when there was none. */
  lastHeartbeatAt: Instant;
  /** Time of the list or heartbeat for which the record was added. */
  addedAt: Instant;
  /** Entry of the host in the newest list. */
  listed: Host | undefined;
}

/** A health report that waits to be sent to the peers. */
export interface QueuedHealthReport {
  readonly report: HealthReport;
  /** Number of gossip messages that still have to contain the report. */
  remainingSends: number;
}

export interface MembershipState {
  readonly seed: number;
  disabledGuards: readonly HostGuard[];
  daemon: string;
  zone: string;
  listRevision: number;
  /** Hosts of the newest list by name; kept, since a later configuration may add some of them. */
  listedHosts: ReadonlyMap<string, Host>;
  listedAt: Instant;
  readonly hostRecords: Map<string, HostRecord>;
  readonly daemonRecords: Map<string, DaemonRecord>;
  readonly hosts: Map<string, HostView>;
  readonly daemons: Map<string, DaemonView>;
  /** Names of the hosts that are not eligible; the state of some of them changes with time alone. */
  readonly ineligibleHosts: Set<string>;
  /** Queued health reports by host. */
  readonly queuedHealthReports: Map<string, QueuedHealthReport>;
  /** Zones of which this daemon can reach no host. */
  readonly unreachableZones: Set<string>;
  /** Names of the hosts that this daemon probes; undefined until computed again after a change. */
  probeShare: ReadonlySet<string> | undefined;
  /** View that `getView` returns; reads the maps above. */
  readonly view: MembershipView;
  /** Time of the newest message. */
  lastMessageAt: Instant;
  /** Time at which this process started or its last pause ended; older evidence is not trusted. */
  resumedAt: Instant;
  nextRefreshAt: Instant;
}

/**
 * Creates the state of a daemon that knows no hosts.
 * @param seed - Seed for pseudo-random choices; not used.
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
 * Checks whether a guard is enabled.
 * @param state - State to read.
 * @param guard - Guard to check.
 */
export function isGuardEnabled(state: MembershipState, guard: HostGuard): boolean {
  return !state.disabledGuards.includes(guard);
}

/**
 * Creates the record of a host without any evidence.
 * @param name - Name of the host.
 * @param role - Role of the host.
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
