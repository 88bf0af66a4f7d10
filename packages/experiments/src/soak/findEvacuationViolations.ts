import { undisturbedMilliseconds } from "./findPartitionViolations.js";
import {
  routerCutName,
  storeName,
  type CallRecord,
  type Evidence,
  type RunRecord,
  type Violation,
} from "./schema.js";

/** Time after the evacuation of a zone from which no request may reach its upstreams. */
const evacuationMilliseconds = 5_000;

/** An evacuation, from its acknowledgement until its end was written. */
interface Evacuation {
  readonly zone: string;
  readonly from: number;
  readonly until: number;
}

/**
 * Finds requests that reached an upstream of an evacuated zone later than allowed after the evacuation, or after the end
 * of the last unplanned disturbance that may have kept their router from learning of it.
 * @param evidence - Records of the run.
 */
export function findEvacuationViolations(evidence: Evidence): Violation[] {
  const callsById = new Map(evidence.calls.map((call) => [call.id, call]));
  return getEvacuations(evidence).flatMap(({ zone, from, until }) =>
    evidence.runs.flatMap((run) => {
      const call = callsById.get(run.id);
      const isInZone = run.zone === zone && run.startedAt >= from && run.startedAt < until;
      if (!isInZone || call === undefined) {
        return [];
      }
      const since = Math.max(from, getContactStart(call, run, evidence));
      const detail =
        `"${run.id}" at router "${call.router}" reached "${run.upstream}" ` +
        `${(run.startedAt - from).toFixed(0)} ms after the evacuation of zone "${zone}"`;
      const isLate = run.startedAt > since + evacuationMilliseconds;
      return isLate ? [{ promise: "evacuated-zones", detail }] : [];
    }),
  );
}

function getEvacuations({ acknowledgements }: Evidence): readonly Evacuation[] {
  return acknowledgements
    .filter(({ kind }) => kind === "zone-evacuated")
    .map(({ name, at }) => {
      const end = acknowledgements.find(
        (each) => each.kind === "zone-returned" && each.name === name && each.at >= at,
      );
      return { zone: name, from: at, until: end?.at ?? Infinity };
    });
}

/**
 * Gets the time since which the router that sent a request has been in contact with the store; infinite when it was not.
 * While upstreams cannot be reached, that may be any router, as a peer can have taken the request over.
 */
function getContactStart(
  { router }: CallRecord,
  { startedAt }: RunRecord,
  { disturbances, upstreams }: Evidence,
): number {
  const earlier = disturbances.filter(({ isPlanned, from }) => !isPlanned && from <= startedAt);
  const mayBeForwarded = earlier.some(
    ({ name, target, until }) =>
      until + undisturbedMilliseconds >= startedAt &&
      (name === routerCutName || upstreams.includes(target)),
  );
  const ends = earlier
    .filter(({ target }) =>
      mayBeForwarded ? !upstreams.includes(target) : target === router || target === storeName,
    )
    .map(({ until }) => until);
  return Math.max(-Infinity, ...ends);
}
