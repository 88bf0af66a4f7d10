import type { Instant } from "../kernel/index.js";
import { getHash } from "../membership/hash.js";
import type { TeamTotal } from "./messages.js";
import type { AdmissionState, TeamAccount } from "./state.js";

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
  const headroom = Math.max(0, team.maxConcurrent - getFleetRunning(state, team, now));
  const part = Math.floor(headroom / state.daemons.length);
  const remainder = headroom % state.daemons.length;
  return team.reported + part + (getRank(state, team) < remainder ? 1 : 0);
}

/**
 * Gets the totals that peers need to know, and notes them as told.
 * @param state - State to update.
 */
export function reportTeamTotals(state: AdmissionState): TeamTotal[] {
  const totals: TeamTotal[] = [];
  for (const team of state.teams.values()) {
    team.reported = isLarge(state, team) ? team.running : 0;
    if (team.reported > 0) {
      totals.push({ team: team.name, running: team.reported });
    }
  }
  return totals;
}

/** A team is large here when it may soon need more than an even part of its limit. */
function isLarge(state: AdmissionState, team: TeamAccount): boolean {
  const evenPart = team.maxConcurrent / Math.max(1, state.daemons.length);
  return (team.running + team.waiting.length) * 2 > evenPart;
}

function getFleetRunning(state: AdmissionState, team: TeamAccount, now: Instant): number {
  let sum = team.reported;
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
