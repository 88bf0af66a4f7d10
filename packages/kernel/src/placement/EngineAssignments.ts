import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { ReservationAnswer } from "./peerMessage.js";
import type { Placement } from "./Placement.js";

/** Counts each placement on the engine that it tries or runs on, and notes changes for owners. */
export class EngineAssignments {
  private constructor(private readonly context: PlacementContext) {}

  /**
   * Creates the counting of a daemon.
   * @param context - Shared parts of the daemon's placement.
   */
  static create(context: PlacementContext): EngineAssignments {
    return new EngineAssignments(context);
  }

  /**
   * Counts a placement on an engine, and no longer on the one before.
   * @param placement - Placement that goes to the engine.
   * @param engine - Engine that it goes to.
   * @param now - Current time.
   */
  assign(placement: Placement, engine: EngineLoad, now: Instant): void {
    if (placement.engine === engine) {
      return;
    }
    this.unassign(placement, now);
    placement.engine = engine;
    this.context.loadCounts.addOwnCount(engine, 1);
    this.addChange(engine, now);
  }

  /**
   * Counts a placement on no engine.
   * @param placement - Placement that leaves its engine.
   * @param now - Current time.
   */
  unassign(placement: Placement, now: Instant): void {
    if (placement.engine === undefined) {
      return;
    }
    this.context.loadCounts.addOwnCount(placement.engine, -1);
    this.addChange(placement.engine, now);
    placement.engine = undefined;
  }

  /**
   * Notes for an engine's owner that this daemon's count of it changed.
   * @param engine - Engine whose count changed.
   * @param now - Current time.
   */
  addChange(engine: EngineLoad, now: Instant): void {
    if (!engine.isOwned && engine.owner !== "") {
      this.context.peerMessages.addChange(engine.owner, now);
    }
  }

  /**
   * Keeps what the owner knows of this daemon's requests: it counts the one that it answers.
   * @param placement - Placement that asked.
   * @param engine - Engine that the answer is of, if it is known.
   * @param answer - Answer of the owner.
   */
  correctReportedCount(
    placement: Placement,
    engine: EngineLoad | undefined,
    { outcome }: ReservationAnswer,
  ): void {
    const tried = placement.engine;
    const isAsTold = outcome === "granted" && tried === engine;
    if (outcome === "unknown" || tried === undefined || isAsTold) {
      return;
    }
    tried.lastReportedOwnCount -= 1;
    if (outcome === "granted" && engine !== undefined) {
      engine.lastReportedOwnCount += 1;
    }
  }
}
