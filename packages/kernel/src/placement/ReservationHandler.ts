import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import type { EngineGroup } from "./EngineGroup.js";
import { getOwnerCount, getCount, type EngineLoad } from "./EngineLoad.js";
import { getMeanLimit, getBoundLimit } from "./limits.js";
import type { Reservation, ReservationAnswer } from "./peerMessage.js";

/** Answers reservations on the engines that this daemon owns. */
export class ReservationHandler {
  private constructor(private readonly context: PlacementContext) {}

  /**
   * Creates a handler.
   * @param context - Shared state of the daemon's placement.
   */
  static create(context: PlacementContext): ReservationHandler {
    return new ReservationHandler(context);
  }

  /**
   * Answers a reservation. The peer's reported counts already include its request.
   * @param from - Daemon that asks.
   * @param reservation - Reservation to answer.
   * @param now - Current time.
   */
  answer(from: string, reservation: Reservation, now: Instant): ReservationAnswer {
    const { loadCounts } = this.context;
    const engine = loadCounts.enginesById.get(reservation.engine);
    const group = loadCounts.groupsById.get(reservation.model);
    if (engine === undefined || group === undefined) {
      return { id: reservation.id, outcome: "unknown", engine: reservation.engine, count: 0 };
    }
    const moved = this.getMovedEngine(reservation.chat, engine, now);
    if (moved !== undefined) {
      return this.redirect(from, reservation, engine, moved, now);
    }
    if (this.canGrant(engine, group, reservation.level, 0, now)) {
      return createAnswer(reservation.id, "granted", engine);
    }
    loadCounts.peers.addReportedCount(from, engine, -1);
    const other = this.getAlternativeEngine(engine, group, now);
    if (other === undefined) {
      return createAnswer(reservation.id, "refused", engine);
    }
    loadCounts.peers.addReportedCount(from, other, 1);
    return createAnswer(reservation.id, "granted", other);
  }

  /**
   * Gets the least loaded of the other engines that this daemon owns, if it is below the mean load.
   * @param engine - Engine without capacity.
   * @param group - Engines that serve the model.
   * @param now - Current time.
   */
  getAlternativeEngine(
    engine: EngineLoad,
    group: EngineGroup,
    now: Instant,
  ): EngineLoad | undefined {
    if (!this.context.strategy.usesMeanLimit) {
      return undefined;
    }
    let least: EngineLoad | undefined;
    let leastLoad = Infinity;
    for (const other of this.context.loadCounts.getOwnedEngines()) {
      const load = getCount(other, now) / other.weight;
      if (
        other !== engine &&
        load < leastLoad &&
        this.context.loadCounts.getGroupsOf(other).includes(group)
      ) {
        least = other;
        leastLoad = load;
      }
    }
    return least !== undefined && this.hasCapacity(least, group, true, 1, now) ? least : undefined;
  }

  /**
   * Gets the engine that a chat moved to, if it differs from the first candidate and is eligible.
   * @param chat - Hash of the chat, or 0 to skip the lookup.
   * @param engine - First candidate of the chat.
   * @param now - Current time.
   */
  getMovedEngine(chat: number, engine: EngineLoad, now: Instant): EngineLoad | undefined {
    const id = chat === 0 ? undefined : this.context.chatDirectory.getEngine(chat, now);
    const moved = id === undefined ? undefined : this.context.loadCounts.enginesById.get(id);
    return moved === engine || moved?.isEligible !== true ? undefined : moved;
  }

  /**
   * Checks whether an engine is eligible and below its limit.
   * @param engine - Engine to check.
   * @param group - Engines that serve the model.
   * @param usesMeanLimit - Whether the limit is the mean load instead of the load bound.
   * @param addedCount - Requests to add that the counts do not include.
   * @param now - Current time.
   */
  hasCapacity(
    engine: EngineLoad,
    group: EngineGroup,
    usesMeanLimit: boolean,
    addedCount: number,
    now: Instant,
  ): boolean {
    return engine.isEligible && this.isBelowLimit(engine, group, usesMeanLimit, addedCount, now);
  }

  /** Also grants engines that are missing from this daemon's view, since others may list them. */
  private canGrant(
    engine: EngineLoad,
    group: EngineGroup,
    usesMeanLimit: boolean,
    addedCount: number,
    now: Instant,
  ): boolean {
    const isUsable = engine.isEligible || engine.isAbsent;
    return isUsable && this.isBelowLimit(engine, group, usesMeanLimit, addedCount, now);
  }

  private isBelowLimit(
    engine: EngineLoad,
    group: EngineGroup,
    usesMeanLimit: boolean,
    addedCount: number,
    now: Instant,
  ): boolean {
    const { bound, strategy } = this.context;
    const limit = usesMeanLimit
      ? getMeanLimit(engine, group, now)
      : getBoundLimit(engine, group, bound, strategy, now);
    return getCount(engine, now) + addedCount <= limit;
  }

  private redirect(
    from: string,
    reservation: Reservation,
    engine: EngineLoad,
    moved: EngineLoad,
    now: Instant,
  ): ReservationAnswer {
    const { loadCounts } = this.context;
    const group = loadCounts.groupsById.get(reservation.model);
    loadCounts.peers.addReportedCount(from, engine, -1);
    const isGranted =
      moved.isOwned && group !== undefined && this.canGrant(moved, group, false, 1, now);
    if (isGranted) {
      loadCounts.peers.addReportedCount(from, moved, 1);
    }
    const outcome = isGranted ? "granted" : "redirected";
    return createAnswer(reservation.id, outcome, moved);
  }
}

function createAnswer(
  id: number,
  outcome: ReservationAnswer["outcome"],
  engine: EngineLoad,
): ReservationAnswer {
  return { id, outcome, engine: engine.id, count: getOwnerCount(engine) };
}
