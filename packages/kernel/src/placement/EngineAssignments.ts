import type { Instant } from "../kernel/Plugin.js";
import type { PlacementContext } from "./context.js";
import type { EngineLoad } from "./EngineLoad.js";
import type { ReservationAnswer } from "./peerMessage.js";
import type { Placement } from "./Placement.js";

/** Counts each placement on its current engine, and marks changed counts to report to owners. */
export class EngineAssignments {
  private constructor(private readonly context: PlacementContext) {}

  /**
   * Creates the assignments of a daemon.
   * @param context - Shared state of the daemon's placement.
   */
  static create(context: PlacementContext): EngineAssignments {
    return new EngineAssignments(context);
  }

  /**
   * Assigns a placement to an engine instead of its previous one.
   * @param placement - Placement to assign.
   * @param engine - Engine to count it on.
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
   * Removes a placement from its engine, if it has one.
   * @param placement - Placement to remove.
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
   * Marks this daemon's count of an engine as changed, to be reported to the engine's owner.
   * @param engine - Engine whose count changed.
   * @param now - Current time.
   */
  addChange(engine: EngineLoad, now: Instant): void {
    if (!engine.isOwned && engine.owner !== "") {
      this.context.peerMessages.addChange(engine.owner, now);
    }
  }

  /**
   * Corrects the last reported counts after an answer. The owner counts the request on the engine
   * that it granted, and on no engine when it refused or redirected.
   * @param placement - Placement that the reservation was for.
   * @param engine - Engine that the answer names, if this daemon knows it.
   * @param answer - Answer of the owner.
   */
  correctReportedCount(
    placement: Placement,
    engine: EngineLoad | undefined,
    { outcome }: ReservationAnswer,
  ): void {
    const triedEngine = placement.engine;
    const isAsReported = outcome === "granted" && triedEngine === engine;
    if (outcome === "unknown" || triedEngine === undefined || isAsReported) {
      return;
    }
    triedEngine.lastReportedOwnCount -= 1;
    if (outcome === "granted" && engine !== undefined) {
      engine.lastReportedOwnCount += 1;
    }
  }
}
