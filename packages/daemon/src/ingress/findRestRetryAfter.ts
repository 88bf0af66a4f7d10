import { getRetryAfterSeconds } from "@pistachioway/kernel";
import type { AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";

/**
 * Finds the time after which a caller should return because upstreams of its service rest.
 * @param dependencies - Dependencies of the request's processing.
 * @param request - Request that no upstream takes now.
 * @returns Seconds; undefined when no upstream of the service rests.
 */
export function findRestRetryAfter(
  { upstreams, getNow, getRandom }: ActiveRequestDependencies,
  { service, approval }: AcceptedRequest,
): number | undefined {
  const now = getNow();
  const restEndsAt = upstreams.getEarliestRestEnd(service, now);
  const priority = approval.team?.priority ?? approval.route.priority;
  return restEndsAt === undefined
    ? undefined
    : getRetryAfterSeconds(restEndsAt, now, priority, getRandom());
}
