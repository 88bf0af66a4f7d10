import { startAccount, takeRetryAt } from "../fairness/index.js";
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

/** Limit of waiting requests at a daemon, divided among the active teams by their shares. */
export const maxWaitingRequests = 1_000;

/** Minimum queue limit of a team, however small its share. */
export const minWaitingRequests = 8;

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
    startAccount(state, team);
  }
  team.waiting.push(request);
  team.waitingCost += request.cost;
  state.waiting.set(request.requestId, request);
  updateActiveTeams(state, team);
}

/**
 * Removes a request from its team's queue.
 * @param state - State to update.
 * @param team - Team of the request.
 * @param request - Request to remove.
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
 * Gets the refusal of a request if its team's queue is full or too slow for its deadline.
 * @param state - State to read.
 * @param team - Team of the request, whose last retry instant is updated.
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
  const retryAt = takeRetryAt(team, capacityAt, requestMilliseconds, now);
  return { kind: "refuse", requestId: message.requestId, error, retryAt };
}

/**
 * Removes every waiting request whose deadline has passed.
 * @param state - State to update.
 * @param now - Current time.
 */
export function expireWaiting(state: AdmissionState, now: Instant): AdmissionEffect[] {
  const expired = [...state.waiting.values()].filter((request) => request.deadline <= now);
  return expired.map((request) => expireRequest(state, request, now));
}

/**
 * Removes a waiting request whose deadline has passed.
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
    retryAt = takeRetryAt(team, now, requestMilliseconds, now);
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

/** Gets the time in which the team's share of the capacity completes one unit of cost. */
function getMillisecondsPerCost(state: AdmissionState, team: TeamAccount): number {
  const cost = Math.max(getGuaranteedCost(state, team), 1);
  return team.serviceMilliseconds / cost;
}
