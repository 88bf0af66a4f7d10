import { getHash, getRendezvousScore } from "../hashing/index.js";
import { crowdedRatio, loadAllowance, loadFactor, reducedLoadFactor } from "./constants.js";
import type { LimitShare } from "./LimitShare.js";
import type { StartShare } from "./StartShare.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";
import type { PathState } from "./UpstreamPath.js";
import { findSooner, type WorkPlacement } from "./WorkPlacement.js";

/**
 * What a daemon knows of the path of the upstream that it chose, see `PathState`. It is `open`, too, when the request may
 * try a path on trial or use a connection that has lived on.
 */
export type ChosenPath = PathState;

/** Requirements of a request on the upstream that will serve it. */
export interface UpstreamRequirements {
  readonly service: string;
  /** Only software version that can serve it; undefined for any. */
  readonly softwareVersion: string | undefined;
  /** Zone of the daemon. */
  readonly zone: string;
  /** Key of the requests that share a cached prefix; undefined when any upstream serves equally well. */
  readonly stickyKey: string | undefined;
  /** Ids of upstreams that the request was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Requests of this daemon that one upstream may hold: the daemon's share of its connections. */
  readonly maxRunning: number;
  /** What this daemon may use of the limits that upstreams name. */
  readonly limitShare: LimitShare;
  /** What this daemon may send to upstreams after their start; undefined when nothing bounds it. */
  readonly startShare?: StartShare | undefined;
  /** Whether the request may run more than once, so that it can try a path that may not be open. */
  readonly isRepeatable: boolean;
  /** Checks whether this daemon has an idle connection to an upstream. */
  readonly hasIdleConnection: (entry: UpstreamEntry) => boolean;
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** By what the work of the request is placed; undefined where only the requests of upstreams are counted. */
  readonly placement?: WorkPlacement | undefined;
}

/** The upstream that was chosen for a request, and why. */
export interface UpstreamChoice {
  readonly entry: UpstreamEntry;
  /**
   * `first` is the first upstream in the rendezvous order of the key, `spilled` a later one because
   * those before it are at the load limit, `leastLoaded` the one with the least load, `reading` one that reads the
   * prompt's shared blocks for another request, `sooner` one that is expected to answer much sooner.
   */
  readonly reason: "first" | "spilled" | "leastLoaded" | "reading" | "sooner";
  /** What this daemon knows of its path to the upstream; better ones come first. */
  readonly path: ChosenPath;
  /** First upstream in the rendezvous order of the key, when another one was chosen. */
  readonly preferred: UpstreamEntry | undefined;
}

/**
 * Chooses the upstream of a request: with a key the first in its rendezvous order that is below
 * the load limit; without a key the least loaded one, those of the daemon's zone preferred.
 * Upstreams whose path is not open are chosen only when there is no other, and so are those that are avoided for
 * their failures; those that leave, rest, are at their limit or in an evacuated zone never.
 * @param entries - Upstreams that the registry lists.
 * @param requirements - Requirements of the request.
 */
export function chooseUpstream(
  entries: readonly UpstreamEntry[],
  requirements: UpstreamRequirements,
): UpstreamChoice | undefined {
  const eligible = findEligible(entries, requirements);
  const path = chosenPaths.find((each) =>
    eligible.some((entry) => getPath(entry, requirements) === each),
  );
  const reached = eligible.filter((entry) => getPath(entry, requirements) === path);
  const available = reached.filter((entry) => !entry.isAvoidedForFailures(requirements.now));
  const candidates = available.length > 0 ? available : reached;
  const choice =
    requirements.stickyKey === undefined
      ? chooseLeastLoaded(candidates, requirements)
      : chooseByKey(
          candidates,
          requirements.stickyKey,
          getLoadLimit(entries, candidates, requirements),
          requirements,
        );
  return choice && path && { ...choice, path };
}

/** The better ones first. */
const chosenPaths: readonly ChosenPath[] = ["open", "trial", "doubted", "closed"];

function getPath(
  entry: UpstreamEntry,
  { isRepeatable, hasIdleConnection, now }: UpstreamRequirements,
): ChosenPath {
  const { path } = entry;
  const mayTry = path.admitsTrial(isRepeatable, now);
  const canReuse = path.isOpenToOldConnections() && hasIdleConnection(entry);
  return mayTry || canReuse ? "open" : path.getState();
}

type ChosenEntry = Omit<UpstreamChoice, "path">;

function isEligible(entry: UpstreamEntry, requirements: UpstreamRequirements): boolean {
  const { service, softwareVersion, excluded, maxRunning, limitShare, startShare, now } =
    requirements;
  const { record, running } = entry;
  const fits =
    record.service === service &&
    (softwareVersion === undefined || record.softwareVersion === softwareVersion);
  const takesRequests = entry.isOffered() && !entry.isResting(now);
  const isBelowLimits = running < maxRunning && entry.limit.isOpen(now, limitShare);
  const isStartSlotOpen = startShare === undefined || entry.start.isOpen(now, startShare);
  return fits && takesRequests && isBelowLimits && isStartSlotOpen && !excluded.has(record.id);
}

/**
 * Finds the upstreams that may be sent a request now. Those that have started are paced only while the others have room:
 * a pace is no reason to refuse a request, nor to let it wait behind others while an upstream that has started is idle.
 */
function findEligible(
  entries: readonly UpstreamEntry[],
  requirements: UpstreamRequirements,
): readonly UpstreamEntry[] {
  const { startShare } = requirements;
  const eligible = entries.filter((entry) => isEligible(entry, requirements));
  if (startShare?.pace === undefined || haveRoom(eligible, requirements.now)) {
    return withoutColdIfUnsettled(eligible, requirements);
  }
  const unpaced = { ...requirements, startShare: { ...startShare, pace: undefined } };
  return findEligible(entries, unpaced);
}

/** Checks whether upstreams hold so few requests that pacing others costs no waiting. */
function haveRoom(entries: readonly UpstreamEntry[], now: number): boolean {
  const load = entries.reduce((sum, entry) => sum + entry.getLoad(now), 0);
  const slots = entries.reduce((sum, { record }) => sum + record.slots, 0);
  return load < slots * crowdedRatio;
}

/** A daemon that does not know yet how many there are leaves cold upstreams to the others, if it can use other ones. */
function withoutColdIfUnsettled(
  eligible: readonly UpstreamEntry[],
  { startShare, now }: UpstreamRequirements,
): readonly UpstreamEntry[] {
  if (startShare === undefined || startShare.isSettled) {
    return eligible;
  }
  const warm = eligible.filter(({ start }) => !start.isCold(now, startShare));
  return warm.length > 0 ? warm : eligible;
}

function chooseLeastLoaded(
  candidates: readonly UpstreamEntry[],
  { zone, now }: UpstreamRequirements,
): ChosenEntry | undefined {
  let best: UpstreamEntry | undefined;
  let bestScore = Infinity;
  for (const entry of candidates) {
    const share = (entry.getLoad(now) + 1) / entry.record.slots;
    const score = share + (entry.record.zone === zone ? 0 : otherZonePenalty);
    if (score < bestScore) {
      best = entry;
      bestScore = score;
    }
  }
  return best === undefined
    ? undefined
    : { entry: best, reason: "leastLoaded", preferred: undefined };
}

/** Added to the load per slot of an upstream in another zone. */
const otherZonePenalty = 0.45;

/**
 * Gets the requests from which on an upstream takes no more. While upstreams are evacuated or cold, those that remain share
 * their load, but the bound on the load of one counts all upstreams of the service.
 */
function getLoadLimit(
  entries: readonly UpstreamEntry[],
  candidates: readonly UpstreamEntry[],
  { service, startShare, now }: UpstreamRequirements,
): number {
  const limit = getMeanLoad(candidates, now) * loadFactor + loadAllowance;
  const members = entries.filter(
    (entry) => entry.record.service === service && entry.isInService(),
  );
  const isReduced = members.some(
    ({ isEvacuated, start }) =>
      isEvacuated || (startShare !== undefined && start.isCold(now, startShare)),
  );
  return isReduced
    ? Math.min(limit, getMeanLoad(members, now) * reducedLoadFactor + loadAllowance)
    : limit;
}

function getMeanLoad(entries: readonly UpstreamEntry[], now: number): number {
  const total = entries.reduce((sum, entry) => sum + entry.getLoad(now), 0);
  return total / Math.max(1, entries.length);
}

function chooseByKey(
  candidates: readonly UpstreamEntry[],
  key: string,
  limit: number,
  { placement, now }: UpstreamRequirements,
): ChosenEntry | undefined {
  const ordered = orderByKey(candidates, key);
  const [preferred] = ordered;
  if (preferred === undefined) {
    return undefined;
  }
  const isBelowLimit = (entry: UpstreamEntry): boolean => entry.getLoad(now) < limit;
  const belowLimit = ordered.find(isBelowLimit) ?? preferred;
  const placed = placement && placeByWork(ordered, belowLimit, isBelowLimit, placement);
  const { entry, reason } = placed ?? {
    entry: belowLimit,
    reason: belowLimit === preferred ? ("first" as const) : ("spilled" as const),
  };
  return { entry, reason, preferred: entry === preferred ? undefined : preferred };
}

/** Gets another upstream than the first below the load limit, if the work of the request is better placed there. */
function placeByWork(
  ordered: readonly UpstreamEntry[],
  first: UpstreamEntry,
  isBelowLimit: (entry: UpstreamEntry) => boolean,
  placement: WorkPlacement,
): Pick<UpstreamChoice, "entry" | "reason"> | undefined {
  const { isPrefixHeld, isCheapToRead, isBeingRead, isReading } = placement;
  if (!isPrefixHeld && !isCheapToRead) {
    const reader = isBeingRead
      ? ordered.find((entry) => isReading(entry) && isBelowLimit(entry))
      : undefined;
    return reader === undefined || reader === first
      ? undefined
      : { entry: reader, reason: "reading" };
  }
  const sooner = findSooner(ordered, first, isBelowLimit, placement);
  return sooner && { entry: sooner, reason: "sooner" };
}

/**
 * Guesses which upstream served a key before, when the chosen one was added recently or the former
 * one is draining or in an evacuated zone.
 * @param entries - Upstreams that the registry lists.
 * @param requirements - Requirements of the request.
 * @param chosen - Upstream that will serve it.
 */
export function guessFormerUpstream(
  entries: readonly UpstreamEntry[],
  { service, stickyKey, now }: Pick<UpstreamRequirements, "service" | "stickyKey" | "now">,
  chosen: UpstreamEntry,
): UpstreamEntry | undefined {
  if (stickyKey === undefined) {
    return undefined;
  }
  const known = entries.filter(
    (entry) =>
      entry.record.service === service && (entry === chosen || !entry.isRecentlyAdded(now)),
  );
  const ordered = orderByKey(known, stickyKey);
  const former = ordered.find((entry) => entry !== chosen);
  const ranksFirst = former !== undefined && former === ordered[0];
  const isLeaving = former?.isOffered() === false && ranksFirst;
  return isLeaving || chosen.isRecentlyAdded(now) ? former : undefined;
}

/**
 * Gets the first upstream in the rendezvous order of a key.
 * @param entries - Upstreams to order.
 * @param key - The key.
 * @param isIncluded - Checks whether an upstream is considered.
 */
export function findFirstByKey(
  entries: readonly UpstreamEntry[],
  key: string,
  isIncluded: (entry: UpstreamEntry) => boolean,
): UpstreamEntry | undefined {
  const hash = getHash(key);
  let first: UpstreamEntry | undefined;
  let firstScore = -Infinity;
  for (const entry of entries) {
    const score = getRendezvousScore(hash, entry.hash, entry.record.slots);
    if (score > firstScore && isIncluded(entry)) {
      first = entry;
      firstScore = score;
    }
  }
  return first;
}

/** Sorts upstreams by their rendezvous score for a key, in descending order. */
function orderByKey(entries: readonly UpstreamEntry[], key: string): readonly UpstreamEntry[] {
  const hash = getHash(key);
  return entries
    .map((entry) => ({ entry, score: getRendezvousScore(hash, entry.hash, entry.record.slots) }))
    .sort((a, b) => b.score - a.score)
    .map(({ entry }) => entry);
}
