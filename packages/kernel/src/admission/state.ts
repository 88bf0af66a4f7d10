import type { Instant } from "../kernel/index.js";
import type { TeamTotal } from "./messages.js";

/** A request that waits for admission. */
export interface WaitingRequest {
  readonly requestId: string;
  readonly team: string;
  readonly cost: number;
  readonly deadline: Instant;
  readonly arrivedAt: Instant;
}

/** A request that was admitted and has not ended. */
export interface RunningRequest {
  readonly team: TeamAccount;
  readonly cost: number;
  readonly startedAt: Instant;
}

/** One team of the configuration with its running and waiting requests at this daemon. */
export interface TeamAccount {
  readonly name: string;
  share: number;
  /** Limit of running requests in the whole fleet. */
  maxConcurrent: number;
  priority: number;
  /** Number of running requests. */
  running: number;
  /** Total cost of the running requests. */
  runningCost: number;
  readonly waiting: WaitingRequest[];
  /** Total cost of the waiting requests. */
  waitingCost: number;
  /** Admitted cost divided by the share (fair queueing); the smallest is served first. */
  virtualTime: number;
  /** Moving average of the time that a request of the team runs. */
  serviceMilliseconds: number;
  /** Latest retry instant given to a refused request. */
  lastRetryAt: Instant;
  /** Running requests as last reported to the peers; 0 while the team is not large. */
  reportedRunning: number;
  /** The report before that one; every peer has sent its own totals since. */
  previouslyReportedRunning: number;
}

/** The last report of a peer. */
export interface PeerTotals {
  /** Instant of the report. */
  readonly at: Instant;
  readonly runningByTeam: ReadonlyMap<string, number>;
}

export interface AdmissionState {
  /** False when the guard `admission-shares` is switched off. */
  isShareGuarded: boolean;
  readonly teams: Map<string, TeamAccount>;
  /** Teams with running or waiting requests. */
  readonly activeTeams: Set<TeamAccount>;
  readonly running: Map<string, RunningRequest>;
  readonly waiting: Map<string, WaitingRequest>;
  readonly peerTotals: Map<string, PeerTotals>;
  capacity: number;
  /** Total cost of the running requests of all teams. */
  usedCost: number;
  daemon: string;
  /** Names of all listed daemons, this one included. */
  daemons: readonly string[];
  /** Instant from which the next report of the totals is due. */
  nextTotalsAt: Instant;
  /** Highest virtual time that was served; a team that becomes active starts no lower. */
  virtualTime: number;
}

/** Creates the initial state, without teams or capacity. */
export function createAdmissionState(): AdmissionState {
  return {
    isShareGuarded: true,
    teams: new Map(),
    activeTeams: new Set(),
    running: new Map(),
    waiting: new Map(),
    peerTotals: new Map(),
    capacity: 0,
    usedCost: 0,
    daemon: "",
    daemons: [],
    nextTotalsAt: 0,
    virtualTime: 0,
  };
}

/**
 * Creates the report of a peer.
 * @param at - Instant of the report.
 * @param totals - Totals of the large teams.
 */
export function createPeerTotals(at: Instant, totals: readonly TeamTotal[]): PeerTotals {
  return { at, runningByTeam: new Map(totals.map((total) => [total.team, total.running])) };
}

/**
 * Adds a team to the set of active teams or removes it, as its account requires.
 * @param state - State to update.
 * @param team - Team whose account changed.
 */
export function updateActiveTeams(state: AdmissionState, team: TeamAccount): void {
  const isKnown = state.teams.get(team.name) === team;
  if (isKnown && (team.running > 0 || team.waiting.length > 0)) {
    state.activeTeams.add(team);
  } else {
    state.activeTeams.delete(team);
  }
}
