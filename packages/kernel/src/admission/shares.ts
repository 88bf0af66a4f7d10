import type { AdmissionState, TeamAccount } from "./state.js";

/** Part of the capacity that teams above their share leave free for those below it. */
export const reservedRatio = 0.05;

/**
 * Gets the cost that a team may always run: its share of the capacity among the active teams.
 * @param state - State to read.
 * @param team - Team whose share to get.
 */
export function getGuaranteedCost(state: AdmissionState, team: TeamAccount): number {
  return state.capacity * getShareRatio(state, team);
}

/**
 * Gets a team's part of the shares of all active teams, itself included.
 * @param state - State to read.
 * @param team - Team whose part to get.
 */
export function getShareRatio(state: AdmissionState, team: TeamAccount): number {
  return team.share / getActiveShares(state, team);
}

/**
 * Tells whether a request would keep a team within its share; the first request always does.
 * @param team - Team of the request.
 * @param cost - Cost of the request.
 * @param capacityPerShare - Capacity divided by the shares of the active teams.
 */
export function isWithinShare(team: TeamAccount, cost: number, capacityPerShare: number): boolean {
  return team.running === 0 || team.runningCost + cost <= team.share * capacityPerShare;
}

/**
 * Gets the capacity that each unit of share stands for, among the active teams.
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
