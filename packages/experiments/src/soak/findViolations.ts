import { getBody } from "./bodies.js";
import { findEvacuationViolations } from "./findEvacuationViolations.js";
import { findPartitionViolations, undisturbedMilliseconds } from "./findPartitionViolations.js";
import { findStreamFault } from "./findStreamFault.js";
import { getServedShare } from "./getServedShare.js";
import {
  startName,
  storeName,
  type CallKind,
  type CallRecord,
  type Evidence,
  type RunRecord,
  type Violation,
} from "./schema.js";

/** Time after the revocation of a key from which no router may accept it. */
const revocationMilliseconds = 5_000;
/** Time from which an undisturbed router sends no new request to a draining upstream. */
const drainMilliseconds = 2_000;
/** A call that ends within this time from its last byte may have been sent while the router closed the connection. */
const closeRaceMilliseconds = 200;
/** Ratio of calls that must succeed after the recovery. */
const minRecoveredRatio = 0.9;
/** Ratio of calls that must succeed after the recovery at each router. */
const minStartedRatio = 0.5;
/** Kinds of calls that run at most once. */
const atMostOnceKinds = new Set<CallKind>(["act", "late", "once"]);
/** Kinds of calls whose response is no stream. */
const plainKinds = new Set<CallKind>(["read", "act", "late"]);
/** Statuses by which a router states that the request did not run. */
const notRunStatuses = new Set([408, 421, 429, 503]);
/** Disturbances that interrupt a router, which may then forget what upstreams announced. */
const interruptions = new Set(["kill", "stop", "pause", startName]);
/** Time after the wish for a rest from which requests count. */
const restDelayMilliseconds = 500;
/** Requests that an upstream may get from one router while it rests. */
const maxRequestsInRest = 2;
const expectedTeam = "callaloo";

/** Runs of each call in the order of their starts, by the id of the call. */
type RunsById = ReadonlyMap<string, readonly RunRecord[]>;

/**
 * Finds the promises that a run broke.
 * @param evidence - Records of the run.
 */
export function findViolations(evidence: Evidence): Violation[] {
  const runsById = groupById(evidence.runs);
  const callViolations = evidence.calls.flatMap((call) =>
    findCallViolations(call, runsById, evidence),
  );
  const runViolations = evidence.runs.flatMap(findRunViolations);
  const exitViolations = evidence.unexpectedExits.map((detail) => ({
    promise: "own-ends",
    detail,
  }));
  return [
    ...callViolations,
    ...runViolations,
    ...exitViolations,
    ...findRestViolations(evidence),
    ...findPartitionViolations(evidence),
    ...findEvacuationViolations(evidence),
    ...findRecoveryViolations(evidence),
    ...findStartViolations(evidence),
  ];
}

function groupById(runs: readonly RunRecord[]): RunsById {
  const runsById = new Map<string, RunRecord[]>();
  for (const run of runs) {
    const known = runsById.get(run.id) ?? [];
    known.push(run);
    runsById.set(run.id, known);
  }
  return runsById;
}

function findCallViolations(call: CallRecord, runsById: RunsById, evidence: Evidence): Violation[] {
  const runs = runsById.get(call.id) ?? [];
  const streamFault = getStreamFault(call, runs);
  const checks: readonly (readonly [string, boolean])[] = [
    ["at-most-once", atMostOnceKinds.has(call.kind) && runs.length > 1],
    ["not-run-true", isFalseRefusal(call, runs)],
    ["answers-whole", isWrongSuccess(call)],
    ["streams-in-order", streamFault !== undefined],
    ["streams-at-one-version", isStreamOfTwoVersions(runs)],
    ["revoked-keys", isRunAfterRevocation(call, runs, evidence)],
    ["draining", isRunWhileDraining(call, runs, evidence)],
    ["leaving", isRunAfterLeaving(call, runsById, evidence)],
    ["planned-stop", isCutByPlannedStop(call, runs, evidence)],
  ];
  const detail =
    `${call.kind} "${call.id}" at router "${call.router}": status ${String(call.status)}, ` +
    `whole ${String(call.isWhole)}, sent at ${call.sentAt.toFixed(0)}, ended at ` +
    `${call.endedAt.toFixed(0)}, runs [${runs.map(formatRun).join(", ")}]` +
    (streamFault === undefined ? "" : `, ${streamFault}`);
  return checks.filter(([, isBroken]) => isBroken).map(([promise]) => ({ promise, detail }));
}

function formatRun({ upstream, startedAt }: RunRecord): string {
  return `${upstream} at ${startedAt.toFixed(0)}`;
}

/**
 * Checks whether a call was refused as not run although it ran.
 * Reads and streams may be refused after a run that failed.
 */
function isFalseRefusal(call: CallRecord, runs: readonly RunRecord[]): boolean {
  return atMostOnceKinds.has(call.kind) && notRunStatuses.has(call.status) && runs.length > 0;
}

function isWrongSuccess({ kind, id, status, stamp, body, isWhole }: CallRecord): boolean {
  return (
    plainKinds.has(kind) &&
    isWhole &&
    status === 200 &&
    (stamp !== `stamp-${id}` || body !== getBody(id))
  );
}

/** A stream must hold the events in order from the first, and all of them if it ends properly. */
function getStreamFault(call: CallRecord, runs: readonly RunRecord[]): string | undefined {
  if (call.status !== 200 || plainKinds.has(call.kind)) {
    return undefined;
  }
  const sources = runs.map(({ upstream }) => upstream);
  return findStreamFault(call, sources)?.detail;
}

/** The runs that resume a stream must have the software version of the one that began it. */
function isStreamOfTwoVersions(runs: readonly RunRecord[]): boolean {
  const first = runs.findLastIndex(({ lastEventId }) => lastEventId === undefined);
  const versions = runs.slice(Math.max(0, first)).map(({ softwareVersion }) => softwareVersion);
  return new Set(versions).size > 1;
}

function isRunAfterRevocation(
  { key, sentAt }: CallRecord,
  runs: readonly RunRecord[],
  { acknowledgements }: Evidence,
): boolean {
  return (
    runs.length > 0 &&
    acknowledgements.some(
      ({ kind, name, at }) =>
        kind === "key-revoked" && name === key && sentAt > at + revocationMilliseconds,
    )
  );
}

function isRunWhileDraining(
  call: CallRecord,
  runs: readonly RunRecord[],
  evidence: Evidence,
): boolean {
  return evidence.acknowledgements.some(
    ({ kind, name, at }) =>
      kind === "upstream-draining" &&
      call.sentAt > at + drainMilliseconds &&
      runs.some(({ upstream }) => upstream === name) &&
      isUndisturbed([call.router, storeName], at - undisturbedMilliseconds, call.endedAt, evidence),
  );
}

/**
 * Checks whether a call reached an upstream although its router had passed on a response by which
 * that upstream leaves. A restart or a pause of the router since then excuses it.
 */
function isRunAfterLeaving(
  call: CallRecord,
  runsById: RunsById,
  { calls, disturbances }: Evidence,
): boolean {
  const runs = runsById.get(call.id) ?? [];
  const upstreams = new Set(runs.map(({ upstream }) => upstream));
  const announcements = calls.filter(
    ({ id, router, isLeaving, endedAt }) =>
      isLeaving &&
      router === call.router &&
      call.sentAt > endedAt + drainMilliseconds &&
      upstreams.has(getAnsweringUpstream(id, runsById) ?? ""),
  );
  return announcements.some(
    ({ endedAt }) =>
      !disturbances.some(
        ({ target, name, until }) =>
          target === call.router && interruptions.has(name) && until >= endedAt,
      ),
  );
}

/** Gets the upstream whose response came to the caller: that of the last run, since an earlier one is cancelled before. */
function getAnsweringUpstream(id: string, runsById: RunsById): string | undefined {
  return runsById.get(id)?.at(-1)?.upstream;
}

/** Finds upstreams that got more requests from a router than they may while they rest. */
function findRestViolations({ calls, refusals, disturbances }: Evidence): Violation[] {
  const routersById = new Map(calls.map(({ id, router }) => [id, router]));
  return refusals.flatMap((refusal) => {
    const router = routersById.get(refusal.id);
    const late = refusals.filter(
      ({ id, upstream, at }) =>
        upstream === refusal.upstream &&
        routersById.get(id) === router &&
        at > refusal.at + restDelayMilliseconds &&
        at < refusal.restEndsAt,
    );
    const isExcused = disturbances.some(
      ({ target, isPlanned, name, from, until }) =>
        target === router &&
        (!isPlanned || interruptions.has(name)) &&
        until >= refusal.at &&
        from <= refusal.restEndsAt,
    );
    const detail = `${String(late.length)} requests from "${String(router)}" to "${refusal.upstream}"`;
    return late.length > maxRequestsInRest && !isExcused ? [{ promise: "rest", detail }] : [];
  });
}

/**
 * Checks whether a planned stop cut off a call that the router had read.
 * That is no violation if an unplanned disturbance hit the installation too.
 */
function isCutByPlannedStop(
  call: CallRecord,
  runs: readonly RunRecord[],
  evidence: Evidence,
): boolean {
  const isCut = !call.isWhole && call.wasConnected;
  const { lastByteAt = Infinity } = call;
  const isRead = runs.length > 0 || call.endedAt - lastByteAt > closeRaceMilliseconds;
  const isStopping = evidence.disturbances.some(
    ({ isPlanned, target, from, until }) =>
      isPlanned && target === call.router && call.endedAt >= from && call.sentAt <= until,
  );
  const targets = [call.router, storeName, ...evidence.upstreams];
  return (
    isCut &&
    isRead &&
    isStopping &&
    isUndisturbed(targets, call.sentAt - undisturbedMilliseconds, call.endedAt, evidence)
  );
}

/** Checks whether no unplanned disturbance hit any of the targets in a period. */
function isUndisturbed(
  targets: readonly string[],
  from: number,
  until: number,
  { disturbances }: Evidence,
): boolean {
  return !disturbances.some(
    (disturbance) =>
      !disturbance.isPlanned &&
      targets.includes(disturbance.target) &&
      disturbance.from <= until &&
      disturbance.until >= from,
  );
}

function findRunViolations(run: RunRecord): Violation[] {
  const checks: readonly (readonly [string, boolean])[] = [
    ["teams", run.team !== expectedTeam || run.key !== undefined],
    ["bodies-whole", !run.hasOwnBody],
  ];
  const detail = `run of "${run.id}" at "${run.upstream}" has team "${String(run.team)}"`;
  return checks.filter(([, isBroken]) => isBroken).map(([promise]) => ({ promise, detail }));
}

/** Gets the calls that must succeed: those after the recovery, with a key that is accepted. */
function getExpectedCalls({
  calls,
  acknowledgements,
  recoveryDeadlineAt,
}: Evidence): readonly CallRecord[] {
  const revoked = new Set(
    acknowledgements.filter(({ kind }) => kind === "key-revoked").map(({ name }) => name),
  );
  return calls.filter(({ sentAt, key }) => sentAt >= recoveryDeadlineAt && !revoked.has(key));
}

/** Finds routers that run half after the recovery, or do not serve their callers. */
function findStartViolations(evidence: Evidence): Violation[] {
  const expected = getExpectedCalls(evidence);
  const unserved = [...new Set(expected.map(({ router }) => router))].filter(
    (name) => getServedShare(expected.filter(({ router }) => router === name)) < minStartedRatio,
  );
  return [
    ...evidence.halfStarts,
    ...unserved.map((name) => `router "${name}" does not serve after the end`),
  ].map((detail) => ({ promise: "whole-starts", detail }));
}

function findRecoveryViolations(evidence: Evidence): Violation[] {
  const expected = getExpectedCalls(evidence);
  const served = expected.filter(({ status, isWhole }) => status === 200 && isWhole);
  const isRecovered = expected.length > 0 && served.length >= expected.length * minRecoveredRatio;
  const detail = `${String(served.length)} of ${String(expected.length)} calls served after the end`;
  return isRecovered ? [] : [{ promise: "recovery", detail }];
}
