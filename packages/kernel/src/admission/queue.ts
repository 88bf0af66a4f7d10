import type { Instant } from "../kernel/index.js";
import { DeadlinePassedError } from "./DeadlinePassedError.js";
import { DeadlineUnreachableError } from "./DeadlineUnreachableError.js";
import type { AdmissionEffect, ArrivalMessage } from "./messages.js";
import { QueueFullError } from "./QueueFullError.js";
import { getGuaranteedCost, getShareRatio } from "./shares.js";
import {
  updateActiveTeams,
  type AdmissionState,
  type TeamAccount,
  type WaitingRequest,
} from "./state.js";

/** Requests that wait at a daemon, divided among the active teams by their shares. */
export const maxWaitingRequests = 1_000;

/** Requests that every team may let wait, however small its share. */
export const minWaitingRequests = 8;

const maxRetryDelayMilliseconds = 60_000;

/**
 * Puts a request at the end of its team's queue.
 * @param state - State to update.
 * @param team - Team of the request.
 * @param request - Request that waits.
 */
export function addWaiting(
  state: AdmissionState,
  team: TeamAccount,
  request: WaitingRequest,
): void {
  if (!state.activeTeams.has(team)) {
    team.virtualTime = Math.max(team.virtualTime, state.virtualTime);
  }
  team.waiting.push(request);
  team.waitingCost += request.cost;
  state.waiting.set(request.requestId, request);
  updateActiveTeams(state, team);
}

/**
 * Takes a request out of its team's queue.
 * @param state - State to update.
 * @param team - Team of the request.
 * @param request - Request that does not wait any more.
 */
export function removeWaiting(
  state: AdmissionState,
  team: TeamAccount,
  request: WaitingRequest,
): void {
  team.waiting.splice(team.waiting.indexOf(request), 1);
  team.waitingCost -= request.cost;
  state.waiting.delete(request.requestId);
  updateActiveTeams(state, team);
}

/**
 * Refuses a waiting request when its team's queue is too long or too slow for its deadline.
 * @param state - State to update.
 * @param team - Team of the request.
 * @param message - Arrival of the request, which is last in the queue.
 * @param now - Time of the arrival.
 */
export function findRefusal(
  state: AdmissionState,
  team: TeamAccount,
  message: ArrivalMessage,
  now: Instant,
): AdmissionEffect | undefined {
  const limit = getQueueLimit(state, team);
  const millisecondsPerCost = getMillisecondsPerCost(state, team);
  const expectedAt = now + Math.ceil(team.waitingCost * millisecondsPerCost);
  const isTooLong = team.waiting.length > limit;
  if (!isTooLong && expectedAt <= message.deadline) {
    return undefined;
  }
  const error = isTooLong
    ? new QueueFullError(team.name, limit)
    : new DeadlineUnreachableError(message.requestId, message.deadline, expectedAt);
  const capacityAt = isTooLong ? now : now + expectedAt - message.deadline;
  const requestMilliseconds = message.cost * millisecondsPerCost;
  const retryAt = getRetryAt(team, capacityAt, requestMilliseconds, now);
  return { kind: "refuse", requestId: message.requestId, error, retryAt };
}

/**
 * Takes out every request whose deadline passed.
 * @param state - State to update.
 * @param now - Current time.
 */
export function expireWaiting(state: AdmissionState, now: Instant): AdmissionEffect[] {
  const expired = [...state.waiting.values()].filter((request) => request.deadline <= now);
  return expired.map((request) => expireRequest(state, request, now));
}

/**
 * Takes out a request whose deadline passed.
 * @param state - State to update.
 * @param request - Request that waits.
 * @param now - Current time.
 */
export function expireRequest(
  state: AdmissionState,
  request: WaitingRequest,
  now: Instant,
): AdmissionEffect {
  const { requestId, deadline } = request;
  const team = state.teams.get(request.team);
  let retryAt = now;
  if (team !== undefined) {
    removeWaiting(state, team, request);
    const requestMilliseconds = request.cost * getMillisecondsPerCost(state, team);
    retryAt = getRetryAt(team, now, requestMilliseconds, now);
  }
  return {
    kind: "expire",
    requestId,
    error: new DeadlinePassedError(requestId, deadline),
    retryAt,
  };
}

function getQueueLimit(state: AdmissionState, team: TeamAccount): number {
  const limit = Math.floor(maxWaitingRequests * getShareRatio(state, team));
  return Math.max(minWaitingRequests, limit);
}

/** Gets the time in which the team's share of the capacity works off one unit of cost. */
function getMillisecondsPerCost(state: AdmissionState, team: TeamAccount): number {
  const cost = Math.max(getGuaranteedCost(state, team), 1);
  return team.serviceMilliseconds / cost;
}

/** Gives refused requests instants one after another, as fast as the queue is worked off. */
function getRetryAt(
  team: TeamAccount,
  capacityAt: Instant,
  requestMilliseconds: number,
  now: Instant,
): Instant {
  const earliest =
    Math.max(capacityAt, team.lastRetryAt) + Math.max(1, Math.ceil(requestMilliseconds));
  const retryAt = Math.min(earliest, now + maxRetryDelayMilliseconds);
  team.lastRetryAt = retryAt;
  return retryAt;
}
