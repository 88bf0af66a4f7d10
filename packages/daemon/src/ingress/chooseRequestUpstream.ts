import { chooseUpstream, isRepeatable, type UpstreamChoice } from "@pistachioway/kernel";
import { getStickyKey, type AcceptedRequest } from "./AcceptedRequest.js";
import { getMaxRunning, type ActiveRequestDependencies } from "./ActiveRequestDependencies.js";

/** What an attempt of a request must not or may only use. */
export interface AttemptConstraints {
  /** Ids of upstreams that the request was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Only software version whose upstreams may take the request; undefined for any. */
  readonly softwareVersion: string | undefined;
}

/**
 * Chooses the upstream that a request is sent to next; undefined when none takes it now.
 * @param dependencies - Dependencies of the request's processing.
 * @param request - The request.
 * @param constraints - What its next attempt must not or may only use.
 */
export function chooseRequestUpstream(
  dependencies: ActiveRequestDependencies,
  { approval, head, service }: AcceptedRequest,
  constraints: AttemptConstraints,
): UpstreamChoice | undefined {
  return chooseUpstream(dependencies.upstreams.getEntries(), {
    ...constraints,
    service,
    zone: dependencies.zone,
    stickyKey: approval.route.isSticky ? getStickyKey(head) : undefined,
    maxRunning: getMaxRunning(dependencies, service),
    limitShare: dependencies.getLimitShare(),
    startShare: dependencies.getStartShare(service),
    isRepeatable: isRepeatable(approval.route),
    hasIdleConnection: ({ record }) => dependencies.pool.hasIdle(record.address),
    now: dependencies.getNow(),
  });
}
