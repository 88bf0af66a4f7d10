import { getHash, getRendezvousScore } from "../placement/hash.js";
import { loadAllowance, loadFactor } from "./constants.js";
import type { UpstreamEntry } from "./UpstreamEntry.js";

/** What a request asks of the upstream that will serve it. */
export interface UpstreamRequirements {
  readonly service: string;
  /** Zone of the daemon. */
  readonly zone: string;
  /** What the request's cached prefix hangs on; undefined when any upstream serves as well. */
  readonly stickyKey: string | undefined;
  /** Ids of upstreams that the request was sent to before. */
  readonly excluded: ReadonlySet<string>;
  /** Requests of this daemon that one upstream may hold: its part of the upstream's connections. */
  readonly maxRunning: number;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** An upstream for a request, and why it was taken. */
export interface UpstreamChoice {
  readonly entry: UpstreamEntry;
  /** First in the key's order, a later one since the first ones are full, or the least loaded. */
  readonly reason: "first" | "spilled" | "leastLoaded";
  /** Upstream that is first in the key's order when another one was taken. */
  readonly preferred: UpstreamEntry | undefined;
}

/**
 * Chooses the upstream of a request: the first in the rendezvous order of its key that holds no
 * more than its part of the load, or the least loaded one, near ones first, without a key.
 * Upstreams that fail or are silent are taken only when there is no other.
 * @param entries - Upstreams that the registry names.
 * @param requirements - What the request asks for.
 */
export function chooseUpstream(
  entries: readonly UpstreamEntry[],
  requirements: UpstreamRequirements,
): UpstreamChoice | undefined {
  const eligible = entries.filter((entry) => isEligible(entry, requirements));
  const available = eligible.filter((entry) => !entry.isAvoided(requirements.now));
  const candidates = available.length > 0 ? available : eligible;
  if (requirements.stickyKey === undefined) {
    return chooseLeastLoaded(candidates, requirements);
  }
  return chooseByKey(candidates, requirements.stickyKey, requirements.now);
}

function isEligible(
  { record, running }: UpstreamEntry,
  { service, excluded, maxRunning }: UpstreamRequirements,
): boolean {
  const isOffered = record.service === service && record.state === "ready";
  return isOffered && running < maxRunning && !excluded.has(record.id);
}

function chooseLeastLoaded(
  candidates: readonly UpstreamEntry[],
  { zone, now }: UpstreamRequirements,
): UpstreamChoice | undefined {
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

/** A distant upstream is taken when the near ones hold this much more, in parts of their slots. */
const otherZonePenalty = 0.45;

function chooseByKey(
  candidates: readonly UpstreamEntry[],
  key: string,
  now: number,
): UpstreamChoice | undefined {
  const ordered = orderByKey(candidates, key);
  const [preferred] = ordered;
  if (preferred === undefined) {
    return undefined;
  }
  const total = candidates.reduce((sum, entry) => sum + entry.getLoad(now), 0);
  const limit = (total / candidates.length) * loadFactor + loadAllowance;
  const belowLimit = ordered.find((entry) => entry.getLoad(now) < limit) ?? preferred;
  return belowLimit === preferred
    ? { entry: preferred, reason: "first", preferred: undefined }
    : { entry: belowLimit, reason: "spilled", preferred: preferred };
}

/**
 * Guesses which upstream has served a key before an upstream that was added lately, or instead of
 * one that leaves.
 * @param entries - Upstreams that the registry names.
 * @param demand - What the request asks for.
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
  const isLeaving = former?.record.state === "draining" && ranksFirst;
  return isLeaving || chosen.isRecentlyAdded(now) ? former : undefined;
}

/** Orders upstreams by the rendezvous score of a key, the largest first. */
function orderByKey(entries: readonly UpstreamEntry[], key: string): readonly UpstreamEntry[] {
  const hash = getHash(key);
  return entries
    .map((entry) => ({ entry, score: getRendezvousScore(hash, entry.hash, entry.record.slots) }))
    .sort((a, b) => b.score - a.score)
    .map(({ entry }) => entry);
}
