import {
  chooseUpstream,
  createWorkPlacement,
  getSpreadKey,
  isRepeatable,
  type UpstreamChoice,
  type WorkPlacement,
} from "@pistachioway/kernel";
import {
  getSharedBlocks,
  getSharedBlockTokens,
  getStickyKey,
  type AcceptedRequest,
} from "./AcceptedRequest.js";
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
  request: AcceptedRequest,
  constraints: AttemptConstraints,
): UpstreamChoice | undefined {
  const { approval, head, service } = request;
  const { upstreams, zone } = dependencies;
  const stickyKey = approval.route.isSticky ? getStickyKey(head) : undefined;
  const spreadKey = getSpreadKey(upstreams.evacuations, { id: head.id, zone, stickyKey });
  const choice = chooseUpstream(upstreams.getEntries(), {
    ...constraints,
    service,
    zone,
    stickyKey: stickyKey ?? spreadKey,
    maxRunning: getMaxRunning(dependencies, service),
    limitShare: dependencies.getLimitShare(),
    startShare: dependencies.getStartShare(service),
    isRepeatable: isRepeatable(approval.route),
    hasIdleConnection: ({ record }) => dependencies.pool.hasIdle(record.address),
    now: dependencies.getNow(),
    placement: getPlacement(dependencies, request),
  });
  // The first upstream for a key of the request's own has nothing cached for it.
  return choice && (spreadKey === undefined ? choice : { ...choice, preferred: undefined });
}

/** Gets the placement of a request by its work; undefined where only the requests of upstreams are counted. */
function getPlacement(
  dependencies: ActiveRequestDependencies,
  { approval, head, service }: AcceptedRequest,
): WorkPlacement | undefined {
  const { workEstimator } = dependencies;
  const canFetch = dependencies.getService(service)?.engine?.canFetch === true;
  if (!workEstimator.isWorkAware(service) || !approval.route.isSticky || !canFetch) {
    return undefined;
  }
  const sharedBlocks = getSharedBlocks(head);
  if (sharedBlocks.length === 0) {
    return undefined;
  }
  const blockTokens = head.promptBlocks.reduce((sum, { tokens }) => sum + tokens, 0);
  const toPlace = {
    service,
    sharedBlocks,
    sharedTokens: getSharedBlockTokens(head).reduce((sum, tokens) => sum + tokens, 0),
    promptTokens: head.tokens?.prompt ?? blockTokens,
    outputTokens: head.tokens?.maxOutput ?? 0,
    goalMilliseconds: approval.route.goalMilliseconds,
    now: dependencies.getNow(),
  };
  return createWorkPlacement(dependencies, toPlace, (entry, work, now) =>
    workEstimator.getExpectedMilliseconds(entry, work, now),
  );
}
