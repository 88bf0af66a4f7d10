import type { Instant } from "../kernel/index.js";
import { getHash } from "../membership/hash.js";
import type { TeamTotal, TeamTotalsEffect } from "./messages.js";
import type { AdmissionState, TeamAccount } from "./state.js";

/**
 * Time between two reports of the totals.
 *
 * It must be long enough that a report from every peer arrives between two of a daemon's own.
 */
export const teamTotalsPeriodMilliseconds = 1_000;

/** Age above which a peer's totals are ignored. */
export const peerTotalsMaxAgeMilliseconds = 10_000;

/**
 * Gets how many requests of a team may run here, so that the fleet keeps to `maxConcurrent`.
 *
 * The reported totals of all daemons count as used. The rest of the limit is divided equally among
 * the daemons; the remainder goes to the first ones in an order that depends on the team.
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
  // An increase counts only from the next report on, when all peers have deducted it.
  const acknowledgedRunning = Math.min(team.previouslyReportedRunning, team.reportedRunning);
  return acknowledgedRunning + headroomPerDaemon + (getRank(state, team) < remainder ? 1 : 0);
}

/**
 * Gets the totals to report to the peers if a report is due, and records them as reported.
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
 * Checks whether a team's total must be reported.
 *
 * A team is large here when its running and waiting requests exceed half of an equal part of its
 * limit, or when the peers' reported totals and its running requests exceed half of its limit.
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
