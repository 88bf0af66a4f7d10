import type { Instant } from "../kernel/Plugin.js";
import { minDigestIntervalMilliseconds, type PlacementContext } from "./context.js";
import { getMean } from "./EngineGroup.js";
import { getCount, type EngineLoad } from "./EngineLoad.js";
import { getHash } from "./hash.js";
import type { PlaceMessage } from "./messages.js";
import type { OwnerContacts } from "./OwnerContacts.js";
import type { OwnerDesk } from "./OwnerDesk.js";
import type { Placement } from "./Placement.js";

/** Expected error of a count at the shortest interval of digests, in square roots of the mean. */
const uncertaintyFactor = 0.8;

/** Chooses the engines to try, by what this daemon knows. */
export class EngineChoice {
  private constructor(
    private readonly context: PlacementContext,
    private readonly desk: OwnerDesk,
    private readonly contacts: OwnerContacts,
  ) {}

  /**
   * Creates a choice.
   * @param context - Shared parts of the daemon's placement.
   * @param desk - Knows the limits and the chats that moved.
   * @param contacts - Knows the owners that are silent.
   */
  static create(context: PlacementContext, desk: OwnerDesk, contacts: OwnerContacts): EngineChoice {
    return new EngineChoice(context, desk, contacts);
  }

  /**
   * Gets the engine to try first: where the chat's prefix is, else the first choice.
   * @param placement - Request to place.
   * @param message - The request as it was asked for.
   * @param now - Current time.
   */
  getFirstTarget(placement: Placement, message: PlaceMessage, now: Instant): EngineLoad {
    const first = placement.candidates[0] as EngineLoad;
    if (!this.context.strategy.remembers) {
      return first;
    }
    if (message.isFirstTurn) {
      return placement.isLevel ? this.getLevelTarget(placement, now) : first;
    }
    placement.known = this.getHintedEngine(placement, message);
    if (placement.known === undefined) {
      placement.isLookup = true;
      placement.known = this.desk.getMovedEngine(placement.chat, first, now);
    }
    placement.reason = placement.known === undefined ? "first-choice" : "cached";
    return placement.known ?? first;
  }

  private getHintedEngine(placement: Placement, message: PlaceMessage): EngineLoad | undefined {
    const hints = [...(message.cachedHint ?? [])].sort((a, b) => b.tokens - a.tokens);
    for (const hint of hints) {
      const engine = this.context.ledger.enginesById.get(getHash(hint.engine));
      if (engine?.isEligible === true && !message.exclude.includes(hint.engine)) {
        return engine;
      }
    }
    return placement.known;
  }

  /** Gets the first choice while it is below the mean, else the least loaded candidate. */
  private getLevelTarget(placement: Placement, now: Instant): EngineLoad {
    const first = placement.candidates[0] as EngineLoad;
    if (this.desk.hasRoom(first, placement.group, true, 1, now)) {
      return first;
    }
    placement.reason = "levelled";
    return this.getLeastLoaded(placement, placement.candidates, now) ?? first;
  }

  /**
   * Gets the least loaded engine that did not refuse the request.
   * @param placement - Request to place.
   * @param engines - Engines to choose among.
   * @param now - Current time.
   */
  getLeastLoaded(
    placement: Placement,
    engines: readonly EngineLoad[],
    now: Instant,
  ): EngineLoad | undefined {
    let least: EngineLoad | undefined;
    let leastLoad = Infinity;
    for (const engine of engines) {
      const load = this.getCautiousCount(engine, now) / engine.weight;
      if (load < leastLoad && !placement.refused.has(engine)) {
        least = engine;
        leastLoad = load;
      }
    }
    return least;
  }

  /**
   * Checks whether an engine has room even if the late counts of it are too low.
   * @param placement - Request to place.
   * @param engine - Engine to check.
   * @param now - Current time.
   */
  isSurelyBelowLimit(placement: Placement, engine: EngineLoad, now: Instant): boolean {
    const { group, isLevel } = placement;
    const needsLookup = placement.isLookup && placement.known === undefined;
    if (!this.context.strategy.trustsLowCounts || needsLookup || engine.claimed === 0) {
      return false;
    }
    const error = uncertaintyFactor * Math.sqrt(getMean(group, now));
    const margin = Math.ceil((error * this.context.digestInterval) / minDigestIntervalMilliseconds);
    const unseen = this.getUnseen(engine);
    const hasRoom = this.desk.hasRoom(engine, group, false, 1 + margin + unseen, now);
    return hasRoom && this.desk.hasRoom(engine, group, isLevel, 1, now);
  }

  /** Counts an engine whose owner is silent as if the other daemons placed as many as this one. */
  private getCautiousCount(engine: EngineLoad, now: Instant): number {
    const isSilent = !engine.isOwned && this.contacts.isSilent(engine.owner, now);
    return getCount(engine, now) + (isSilent ? this.getUnseen(engine) : 0);
  }

  /**
   * Gets how many requests the other daemons have placed if each placed as many as this one since
   * the newest claim.
   * @param engine - Engine to count.
   */
  getUnseen(engine: EngineLoad): number {
    return Math.max(0, engine.own - engine.ownAtClaim) * (this.context.daemonCount - 1);
  }
}
