import type { AdmissionState, TeamAccount } from "./state.js";

/** Part of the capacity that teams above their share leave free for teams below theirs. */
export const reservedRatio = 0.05;

/**
 * Gets a team's guaranteed capacity: its share of the capacity among the active teams.
 * @param state - State to read.
 * @param team - Team whose share to get.
 */
export function getGuaranteedCost(state: AdmissionState, team: TeamAccount): number {
  return state.capacity * getShareRatio(state, team);
}

/**
 * Gets the ratio of a team's share to the sum of all active shares, its own included.
 * @param state - State to read.
 * @param team - Team whose ratio to get.
 */
export function getShareRatio(state: AdmissionState, team: TeamAccount): number {
  return team.share / getActiveShares(state, team);
}

/**
 * Checks whether a request keeps its team within its share; true if the team runs no other.
 * @param team - Team of the request.
 * @param cost - Cost of the request.
 * @param capacityPerShare - Capacity divided by the shares of the active teams.
 */
export function isWithinShare(team: TeamAccount, cost: number, capacityPerShare: number): boolean {
  return team.running === 0 || team.runningCost + cost <= team.share * capacityPerShare;
}

/**
 * Gets the capacity per unit of share among the active teams.
 * @param state - State to read.
 */
export function getCapacityPerShare(state: AdmissionState): number {
  return state.capacity / Math.max(getActiveShares(state), Number.MIN_VALUE);
}

function getActiveShares(state: AdmissionState, joining?: TeamAccount): number {
  let sum = 0;
  for (const team of state.activeTeams) {
    sum += team.share;
  }
  return joining === undefined || state.activeTeams.has(joining) ? sum : sum + joining.share;
}
