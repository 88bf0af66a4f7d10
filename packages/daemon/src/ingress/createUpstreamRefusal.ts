import { getRetryAfterSeconds } from "@pistachioway/kernel";
import { getRequestPriority, type AcceptedRequest } from "./AcceptedRequest.js";
import type { ActiveRequestDependencies } from "./ActiveRequestDependencies.js";
import type { Refusal } from "./refusals.js";

/**
 * Creates the refusal of a request that no upstream takes now; one that rests, is cold or is at its limit may take it
 * later.
 * @param dependencies - Dependencies of the request's processing.
 * @param request - Request that no upstream takes now.
 * @param softwareVersion - Only version whose upstreams may take it; undefined for any.
 */
export function createUpstreamRefusal(
  { upstreams, getNow, getRandom, getLimitShare, getStartShare }: ActiveRequestDependencies,
  { service, approval }: AcceptedRequest,
  softwareVersion: string | undefined,
): Refusal {
  const now = getNow();
  if (upstreams.isServiceEvacuated(service)) {
    const detail = `the upstreams of service "${service}" are in zones that are evacuated`;
    return { name: "zone-evacuated", detail, retryAfterSeconds: undefined };
  }
  if (softwareVersion !== undefined && !upstreams.isVersionServed(service, softwareVersion)) {
    const detail = `no upstream of service "${service}" has software version "${softwareVersion}"`;
    return { name: "stream-version-gone", detail, retryAfterSeconds: undefined };
  }
  const limitSlotAt = upstreams.getEarliestLimitSlot(service, now, getLimitShare()) ?? Infinity;
  const restEndsAt = upstreams.getEarliestRestEnd(service, now) ?? Infinity;
  const startShare = getStartShare(service);
  const coldSlotAt =
    (startShare && upstreams.getEarliestStartSlot(service, now, startShare)) ?? Infinity;
  const availableAt = Math.min(limitSlotAt, restEndsAt, coldSlotAt);
  if (availableAt === Infinity) {
    const detail = `no upstream of service "${service}" can be used`;
    return { name: "no-upstream", detail, retryAfterSeconds: undefined };
  }
  const priority = getRequestPriority(approval);
  const retryAfterSeconds = getRetryAfterSeconds(availableAt, now, priority, getRandom());
  if (coldSlotAt === availableAt) {
    return {
      name: "upstreams-cold",
      detail: `the upstreams of service "${service}" have just started and take few requests`,
      retryAfterSeconds,
    };
  }
  return limitSlotAt < restEndsAt
    ? {
        name: "upstreams-limited",
        detail: `the upstreams of service "${service}" are at the limits that they named`,
        retryAfterSeconds,
      }
    : {
        name: "upstreams-resting",
        detail: `the upstreams of service "${service}" asked for no requests`,
        retryAfterSeconds,
      };
}
