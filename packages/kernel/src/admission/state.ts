import type { Instant } from "../kernel/index.js";
import type { TeamTotal } from "./messages.js";

/** A request that waits to be admitted. */
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

/** One team of the configuration and what it runs and waits for here. */
export interface TeamAccount {
  readonly name: string;
  share: number;
  maxConcurrent: number;
  priority: number;
  /** Requests that run, and the sum of their costs. */
  running: number;
  runningCost: number;
  readonly waiting: WaitingRequest[];
  waitingCost: number;
  /** Cost admitted so far divided by the share; the smallest is served first. */
  virtualTime: number;
  /** Time that a request of the team runs, averaged. */
  serviceMilliseconds: number;
  /** Instant given to the refused request that comes back last. */
  lastRetryAt: Instant;
  /** Running requests as told to the peers; 0 while the team is not large. */
  reportedRunning: number;
  /** What was told one tick earlier, so that every peer has answered it with its own totals. */
  previouslyReportedRunning: number;
}

/** What a peer told last. */
export interface PeerTotals {
  readonly at: Instant;
  readonly runningByTeam: ReadonlyMap<string, number>;
}

export interface AdmissionState {
  /** False when the guard is switched off. */
  isShareGuarded: boolean;
  readonly teams: Map<string, TeamAccount>;
  /** Teams that run or wait for something. */
  readonly activeTeams: Set<TeamAccount>;
  readonly running: Map<string, RunningRequest>;
  readonly waiting: Map<string, WaitingRequest>;
  readonly peerTotals: Map<string, PeerTotals>;
  capacity: number;
  usedCost: number;
  daemon: string;
  daemons: readonly string[];
  /** Instant from which the peers are told the totals again. */
  nextTotalsAt: Instant;
  /** Virtual time of the team that was served last. */
  virtualTime: number;
}

/** Creates the state of a daemon without teams or capacity. */
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
 * Creates what a peer told.
 * @param at - Instant of the totals.
 * @param totals - Totals of the large teams.
 */
export function createPeerTotals(at: Instant, totals: readonly TeamTotal[]): PeerTotals {
  return { at, runningByTeam: new Map(totals.map((total) => [total.team, total.running])) };
}

/**
 * Keeps the set of active teams in step with a team's account.
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
