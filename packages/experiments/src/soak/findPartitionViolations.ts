import { getServedShare } from "./getServedShare.js";
import { routerCutName, type CallRecord, type Evidence, type Violation } from "./schema.js";

/** A router counts as undisturbed if no unplanned disturbance hit it or the store for this long. */
export const undisturbedMilliseconds = 3_000;
/** Time from which a router that reaches no upstream serves its callers like the others. */
const partitionNoticeMilliseconds = 1_000;
/** Share of calls served at such a router, as part of the share at the others. */
const minPartitionedShare = 0.8;
/** Calls at both from which their shares are compared. */
const minComparedCalls = 30;

/**
 * Finds cut routers whose callers are served far worse than those of undisturbed routers meanwhile. Times in which a
 * router or the store is disturbed otherwise do not count.
 * @param evidence - Records of the run.
 */
export function findPartitionViolations(evidence: Evidence): Violation[] {
  const cuts = evidence.disturbances.filter(({ name }) => name === routerCutName);
  return cuts.flatMap(({ target, from, until }) => {
    const since = from + partitionNoticeMilliseconds;
    const calls = evidence.calls.filter(
      (call) => call.sentAt >= since && call.endedAt <= until && isComparable(call, evidence),
    );
    const cutCalls = calls.filter(({ router }) => router === target);
    const otherCalls = calls.filter(({ router }) => isUncut(router, since, until, evidence));
    const cut = getServedShare(cutCalls);
    const others = getServedShare(otherCalls);
    const isKept =
      cutCalls.length < minComparedCalls ||
      otherCalls.length < minComparedCalls ||
      cut >= others * minPartitionedShare;
    const detail =
      `router "${target}" reached no upstream and served ${cut.toFixed(2)} of ${String(cutCalls.length)}, ` +
      `the others ${others.toFixed(2)} of ${String(otherCalls.length)}`;
    return isKept ? [] : [{ promise: "partitioned-routers", detail }];
  });
}

/** Checks whether nothing but a cut from upstreams has disturbed the router of a call, the store or other routers. */
function isComparable({ sentAt, endedAt }: CallRecord, { disturbances }: Evidence): boolean {
  return !disturbances.some(
    ({ name, from, until }) =>
      name !== routerCutName && from <= endedAt && until + undisturbedMilliseconds >= sentAt,
  );
}

/** Checks whether a router reaches its upstreams in a period. */
function isUncut(router: string, since: number, until: number, evidence: Evidence): boolean {
  return !evidence.disturbances.some(
    ({ name, target, from, until: end }) =>
      name === routerCutName && target === router && from <= until && end >= since,
  );
}
