import type { Instant } from "../kernel/index.js";
import { getHash } from "../membership/hash.js";
import type { TeamTotal, TeamTotalsEffect } from "./messages.js";
import type { AdmissionState, TeamAccount } from "./state.js";

/** Time between two reports of the totals; each peer's must arrive between two of one's own. */
export const teamTotalsPeriodMilliseconds = 1_000;

/** Age above which a peer's totals are not counted any more. */
export const peerTotalsMaxAgeMilliseconds = 10_000;

/**
 * Gets how many requests of a team may run here, so that the fleet keeps to `maxConcurrent`.
 *
 * What the daemons told each other is counted as used; what is left is divided among all of them,
 * and the remainder goes to the first daemons in an order that depends on the team.
 * @param state - State to read.
 * @param team - Team whose limit to get.
 * @param now - Time of the decision.
 */
export function getLocalLimit(state: AdmissionState, team: TeamAccount, now: Instant): number {
  if (state.daemons.length <= 1) {
    return team.maxConcurrent;
  }
  const used = getPeersRunning(state, team, now) + team.reportedRunning;
  const headroom = Math.max(0, team.maxConcurrent - used);
  const headroomPerDaemon = Math.floor(headroom / state.daemons.length);
  const remainder = headroom % state.daemons.length;
  const acknowledgedRunning = Math.min(team.previouslyReportedRunning, team.reportedRunning);
  return acknowledgedRunning + headroomPerDaemon + (getRank(state, team) < remainder ? 1 : 0);
}

/**
 * Gets the totals that peers need to know, when they are due, and notes them as told.
 * @param state - State to update.
 * @param now - Current time.
 */
export function reportTeamTotals(
  state: AdmissionState,
  now: Instant,
): TeamTotalsEffect | undefined {
  if (now < state.nextTotalsAt) {
    return undefined;
  }
  state.nextTotalsAt = now + teamTotalsPeriodMilliseconds;
  return { kind: "teamTotals", totals: collectTeamTotals(state, now) };
}

function collectTeamTotals(state: AdmissionState, now: Instant): TeamTotal[] {
  const totals: TeamTotal[] = [];
  for (const team of state.teams.values()) {
    team.previouslyReportedRunning = team.reportedRunning;
    team.reportedRunning = isLarge(state, team, now) ? team.running : 0;
    if (team.reportedRunning > 0) {
      totals.push({ team: team.name, running: team.reportedRunning });
    }
  }
  return totals;
}

/**
 * A team is large when it needs half of an even part of its limit here, or when the totals of the
 * daemons where it does come to half of its limit together with what runs here.
 */
function isLarge(state: AdmissionState, team: TeamAccount, now: Instant): boolean {
  const limitPerDaemon = team.maxConcurrent / Math.max(1, state.daemons.length);
  const isLargeHere = (team.running + team.waiting.length) * 2 > limitPerDaemon;
  const fleetRunning = getPeersRunning(state, team, now) + team.running;
  return isLargeHere || fleetRunning * 2 > team.maxConcurrent;
}

function getPeersRunning(state: AdmissionState, team: TeamAccount, now: Instant): number {
  let sum = 0;
  for (const totals of state.peerTotals.values()) {
    const isFresh = now - totals.at <= peerTotalsMaxAgeMilliseconds;
    sum += isFresh ? (totals.runningByTeam.get(team.name) ?? 0) : 0;
  }
  return sum;
}

function getRank(state: AdmissionState, team: TeamAccount): number {
  const own = getHash(`${team.name}/${state.daemon}`);
  return state.daemons.filter((daemon) => getHash(`${team.name}/${daemon}`) < own).length;
}
