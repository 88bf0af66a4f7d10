import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import type { EngineGroup } from "./EngineGroup.js";
import { getAssignedCount, getCount, type EngineLoad } from "./EngineLoad.js";
import { getLevelLimit, getLimit } from "./limits.js";
import type { Reservation, ReservationAnswer } from "./peerMessage.js";

/** Answers reservations on the engines that this daemon owns. */
export class OwnerDesk {
  private constructor(private readonly context: PlacementContext) {}

  /**
   * Creates a desk.
   * @param context - Shared parts of the daemon's placement.
   */
  static create(context: PlacementContext): OwnerDesk {
    return new OwnerDesk(context);
  }

  /**
   * Answers a reservation whose request the peer's counts include already.
   * @param from - Daemon that asks.
   * @param reservation - Reservation to answer.
   * @param now - Current time.
   */
  answer(from: string, reservation: Reservation, now: Instant): ReservationAnswer {
    const { ledger } = this.context;
    const engine = ledger.enginesById.get(reservation.engine);
    const group = ledger.groupsById.get(reservation.model);
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
    ledger.peers.addReported(from, engine, -1);
    const other = this.getOtherEngine(engine, group, now);
    if (other === undefined) {
      return createAnswer(reservation.id, "refused", engine);
    }
    ledger.peers.addReported(from, other, 1);
    return createAnswer(reservation.id, "granted", other);
  }

  /**
   * Gets the least loaded of the daemon's own engines that is below the mean.
   * @param engine - Engine that has no room.
   * @param group - Engines that serve the model.
   * @param now - Current time.
   */
  getOtherEngine(engine: EngineLoad, group: EngineGroup, now: Instant): EngineLoad | undefined {
    if (!this.context.strategy.levels) {
      return undefined;
    }
    let least: EngineLoad | undefined;
    let leastLoad = Infinity;
    for (const other of this.context.ledger.getOwnedEngines()) {
      const load = getCount(other, now) / other.weight;
      if (
        other !== engine &&
        load < leastLoad &&
        this.context.ledger.getGroupsOf(other).includes(group)
      ) {
        least = other;
        leastLoad = load;
      }
    }
    return least !== undefined && this.hasRoom(least, group, true, 1, now) ? least : undefined;
  }

  /**
   * Gets the engine that a chat moved to, when it is another one and may be used.
   * @param chat - Hash of the chat; 0 when it need not be looked up.
   * @param engine - The chat's first choice.
   * @param now - Current time.
   */
  getMovedEngine(chat: number, engine: EngineLoad, now: Instant): EngineLoad | undefined {
    const id = chat === 0 ? undefined : this.context.directory.getEngine(chat, now);
    const moved = id === undefined ? undefined : this.context.ledger.enginesById.get(id);
    return moved === engine || moved?.isEligible !== true ? undefined : moved;
  }

  /**
   * Checks whether an engine has room.
   * @param engine - Engine to check.
   * @param group - Engines that serve the model.
   * @param isLevel - Whether only room below the mean counts.
   * @param added - Requests to add that the counts do not include yet.
   * @param now - Current time.
   */
  hasRoom(
    engine: EngineLoad,
    group: EngineGroup,
    isLevel: boolean,
    added: number,
    now: Instant,
  ): boolean {
    return engine.isEligible && this.isBelowLimit(engine, group, isLevel, added, now);
  }

  /** A daemon whose list lacks an engine goes on counting it for the others. */
  private canGrant(
    engine: EngineLoad,
    group: EngineGroup,
    isLevel: boolean,
    added: number,
    now: Instant,
  ): boolean {
    const isUsable = engine.isEligible || engine.isAbsent;
    return isUsable && this.isBelowLimit(engine, group, isLevel, added, now);
  }

  private isBelowLimit(
    engine: EngineLoad,
    group: EngineGroup,
    isLevel: boolean,
    added: number,
    now: Instant,
  ): boolean {
    const { bound, strategy } = this.context;
    const limit = isLevel
      ? getLevelLimit(engine, group, now)
      : getLimit(engine, group, bound, strategy, now);
    return getCount(engine, now) + added <= limit;
  }

  private redirect(
    from: string,
    reservation: Reservation,
    engine: EngineLoad,
    moved: EngineLoad,
    now: Instant,
  ): ReservationAnswer {
    const { ledger } = this.context;
    const group = ledger.groupsById.get(reservation.model);
    ledger.peers.addReported(from, engine, -1);
    const isGranted =
      moved.isOwned && group !== undefined && this.canGrant(moved, group, false, 1, now);
    if (isGranted) {
      ledger.peers.addReported(from, moved, 1);
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
  return { id, outcome, engine: engine.id, count: getAssignedCount(engine) };
}
