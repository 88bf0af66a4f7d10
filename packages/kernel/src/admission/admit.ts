import { chargeAccount } from "../fairness/index.js";
import type { Instant } from "../kernel/index.js";
import { getLocalLimit } from "./fleetLimit.js";
import type { AdmissionEffect } from "./messages.js";
import { expireRequest, removeWaiting } from "./queue.js";
import { getCapacityPerShare, isWithinShare, reservedRatio } from "./shares.js";
import {
  updateActiveTeams,
  type AdmissionState,
  type TeamAccount,
  type WaitingRequest,
} from "./state.js";

/** Weight of the newest request in the moving average of a team's service time. */
const serviceTimeSmoothing = 0.1;

interface Candidate {
  readonly team: TeamAccount;
  readonly request: WaitingRequest;
  readonly isWithinShare: boolean;
}

/**
 * Admits waiting requests until the capacity is used up.
 *
 * Requests that keep their team within its share come first, by virtual time. The others follow
 * by priority and then virtual time. A request whose deadline has passed expires instead.
 * @param state - State to update.
 * @param now - Current time.
 */
export function admitWaiting(state: AdmissionState, now: Instant): AdmissionEffect[] {
  const effects: AdmissionEffect[] = [];
  let next = findNext(state, now);
  while (next !== undefined && hasCapacity(state, next)) {
    const { request } = next;
    const isExpired = request.deadline <= now;
    effects.push(isExpired ? expireRequest(state, request, now) : admit(state, next, now));
    next = findNext(state, now);
  }
  return effects;
}

/**
 * Ends an admitted request and frees its capacity.
 * @param state - State to update.
 * @param requestId - Request that ended.
 * @param now - Time of its end.
 * @param isMeasured - True when the request ran to completion, so that its duration counts.
 */
export function endRunning(
  state: AdmissionState,
  requestId: string,
  now: Instant,
  isMeasured: boolean,
): void {
  const request = state.running.get(requestId);
  if (request === undefined) {
    return;
  }
  state.running.delete(requestId);
  state.usedCost -= request.cost;
  endRunningOfTeam(request.team, request.cost, isMeasured ? now - request.startedAt : undefined);
  updateActiveTeams(state, request.team);
}

function endRunningOfTeam(team: TeamAccount, cost: number, milliseconds: number | undefined): void {
  team.running -= 1;
  team.runningCost -= cost;
  if (milliseconds !== undefined) {
    team.serviceMilliseconds += serviceTimeSmoothing * (milliseconds - team.serviceMilliseconds);
  }
}

function findNext(state: AdmissionState, now: Instant): Candidate | undefined {
  const capacityPerShare = getCapacityPerShare(state);
  let best: Candidate | undefined;
  for (const team of state.activeTeams) {
    const candidate = findCandidate(state, team, capacityPerShare, now);
    if (candidate !== undefined && (best === undefined || isBefore(candidate, best))) {
      best = candidate;
    }
  }
  return best;
}

function findCandidate(
  state: AdmissionState,
  team: TeamAccount,
  capacityPerShare: number,
  now: Instant,
): Candidate | undefined {
  const request = team.waiting[0];
  if (request === undefined || team.running >= getLocalLimit(state, team, now)) {
    return undefined;
  }
  const isWithin = isWithinShare(team, request.cost, capacityPerShare);
  return { team, request, isWithinShare: state.isShareGuarded && isWithin };
}

function isBefore(a: Candidate, b: Candidate): boolean {
  if (a.isWithinShare !== b.isWithinShare) {
    return a.isWithinShare;
  }
  if (!a.isWithinShare && a.team.priority !== b.team.priority) {
    return a.team.priority > b.team.priority;
  }
  if (a.team.virtualTime !== b.team.virtualTime) {
    return a.team.virtualTime < b.team.virtualTime;
  }
  return a.team.priority > b.team.priority;
}

/** Checks whether the capacity suffices; an idle daemon admits a request of any cost. */
function hasCapacity(state: AdmissionState, candidate: Candidate): boolean {
  const reserved = candidate.isWithinShare ? 0 : Math.ceil(state.capacity * reservedRatio);
  const isIdle = state.usedCost === 0 && state.capacity > 0;
  return isIdle || state.usedCost + candidate.request.cost <= state.capacity - reserved;
}

function admit(state: AdmissionState, candidate: Candidate, now: Instant): AdmissionEffect {
  const { team, request } = candidate;
  chargeAccount(state, team, request.cost, team.share);
  team.running += 1;
  team.runningCost += request.cost;
  state.usedCost += request.cost;
  state.running.set(request.requestId, { team, cost: request.cost, startedAt: now });
  removeWaiting(state, team, request);
  return { kind: "admit", requestId: request.requestId, arrivedAt: request.arrivedAt };
}
