import type { Instant } from "../kernel/Plugin.js";
import { minGossipIntervalMilliseconds, type PlacementContext } from "./context.js";
import { getMeanLoad } from "./EngineGroup.js";
import { getCount, type EngineLoad } from "./EngineLoad.js";
import { getHash } from "../hashing/index.js";
import type { PlaceMessage } from "./messages.js";
import type { OwnerResponseTracker } from "./OwnerResponseTracker.js";
import type { ReservationHandler } from "./ReservationHandler.js";
import type { Placement } from "./Placement.js";

/**
 * Expected error of a count at the minimum gossip interval, as a multiple of the square root of the
 * mean load.
 */
const countErrorFactor = 0.8;

/** Selects the engines to try from the counts that this daemon knows. */
export class EngineSelector {
  private constructor(
    private readonly context: PlacementContext,
    private readonly reservationHandler: ReservationHandler,
    private readonly ownerResponses: OwnerResponseTracker,
  ) {}

  /**
   * Creates a selector.
   * @param context - Shared state of the daemon's placement.
   * @param reservationHandler - Checks the load limits and knows the chats that moved.
   * @param ownerResponses - Knows the unresponsive owners.
   */
  static create(
    context: PlacementContext,
    reservationHandler: ReservationHandler,
    ownerResponses: OwnerResponseTracker,
  ): EngineSelector {
    return new EngineSelector(context, reservationHandler, ownerResponses);
  }

  /**
   * Gets the engine to try first: the one that caches the chat's prefix, or else the first
   * candidate in rendezvous order.
   * @param placement - Request to place.
   * @param message - Message that asked for the placement.
   * @param now - Current time.
   */
  getFirstTarget(placement: Placement, message: PlaceMessage, now: Instant): EngineLoad {
    const first = placement.candidates[0] as EngineLoad;
    if (!this.context.strategy.remembersMovedChats) {
      return first;
    }
    if (message.isFirstTurn) {
      return placement.usesMeanLimit ? this.getMeanLimitTarget(placement, now) : first;
    }
    placement.cachedEngine = this.getHintedEngine(placement, message);
    if (placement.cachedEngine === undefined) {
      placement.canLookUpChat = true;
      placement.cachedEngine = this.reservationHandler.getMovedEngine(placement.chat, first, now);
    }
    placement.reason = placement.cachedEngine === undefined ? "first-choice" : "cached";
    return placement.cachedEngine ?? first;
  }

  private getHintedEngine(placement: Placement, message: PlaceMessage): EngineLoad | undefined {
    const hints = [...(message.cachedHint ?? [])].sort((a, b) => b.tokens - a.tokens);
    for (const hint of hints) {
      const engine = this.context.loadCounts.enginesById.get(getHash(hint.engine));
      if (engine?.isEligible === true && !message.exclude.includes(hint.engine)) {
        return engine;
      }
    }
    return placement.cachedEngine;
  }

  /** Gets the first candidate if it is below the mean load, else the least loaded candidate. */
  private getMeanLimitTarget(placement: Placement, now: Instant): EngineLoad {
    const first = placement.candidates[0] as EngineLoad;
    if (this.reservationHandler.hasCapacity(first, placement.group, true, 1, now)) {
      return first;
    }
    placement.reason = "levelled";
    return this.getLeastLoaded(placement, placement.candidates, now) ?? first;
  }

  /**
   * Gets the least loaded engine that did not refuse the request.
   * @param placement - Request to place.
   * @param engines - Engines to select from.
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
      const load = this.getConservativeCount(engine, now) / engine.weight;
      if (load < leastLoad && !placement.refusedEngines.has(engine)) {
        least = engine;
        leastLoad = load;
      }
    }
    return least;
  }

  /**
   * Checks whether an engine has capacity even if its count is outdated and too low. A request to
   * such an engine needs no reservation at the owner.
   * @param placement - Request to place.
   * @param engine - Engine to check.
   * @param now - Current time.
   */
  isSafelyBelowLimit(placement: Placement, engine: EngineLoad, now: Instant): boolean {
    const { group, usesMeanLimit } = placement;
    const needsLookup = placement.canLookUpChat && placement.cachedEngine === undefined;
    if (!this.context.strategy.skipsSafeReservations || needsLookup || engine.claimedCount === 0) {
      return false;
    }
    const expectedError = countErrorFactor * Math.sqrt(getMeanLoad(group, now));
    const margin = Math.ceil(
      (expectedError * this.context.gossipIntervalMilliseconds) / minGossipIntervalMilliseconds,
    );
    const unreportedCount = this.getUnreportedEstimate(engine);
    const hasCapacity = this.reservationHandler.hasCapacity(
      engine,
      group,
      false,
      1 + margin + unreportedCount,
      now,
    );
    return hasCapacity && this.reservationHandler.hasCapacity(engine, group, usesMeanLimit, 1, now);
  }

  /**
   * Gets the running requests of an engine. When its owner is unresponsive, adds an estimate of
   * those that the other daemons have placed.
   */
  private getConservativeCount(engine: EngineLoad, now: Instant): number {
    const isUnresponsive = !engine.isOwned && this.ownerResponses.isUnresponsive(engine.owner, now);
    return getCount(engine, now) + (isUnresponsive ? this.getUnreportedEstimate(engine) : 0);
  }

  /**
   * Estimates the requests that the other daemons have placed since the owner's last claim: as many
   * each as this daemon.
   * @param engine - Engine to count.
   */
  getUnreportedEstimate(engine: EngineLoad): number {
    return Math.max(0, engine.ownCount - engine.ownCountAtClaim) * (this.context.daemonCount - 1);
  }
}
