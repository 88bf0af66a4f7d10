import type { Instant } from "../kernel/Plugin.js";
import type { Placement, PendingReservation } from "./Placement.js";

/** The reservations that are waiting for an owner's answer, each with its placement. */
export class PendingReservations {
  private readonly placementsById = new Map<number, Placement>();
  private nextId = 0;

  private constructor() {
    // Created by the static method.
  }

  /** Creates a set without reservations. */
  static create(): PendingReservations {
    return new PendingReservations();
  }

  /** Gets the number of pending reservations. */
  getSize(): number {
    return this.placementsById.size;
  }

  /**
   * Adds a reservation in place of the placement's previous one, and returns its id.
   * @param placement - Placement that waits for the answer.
   * @param details - Fields of the reservation.
   */
  begin(placement: Placement, details: Omit<PendingReservation, "id">): number {
    this.end(placement);
    const id = this.nextId;
    this.nextId = (id + 1) >>> 0;
    placement.reservation = { id, ...details };
    this.placementsById.set(id, placement);
    return id;
  }

  /**
   * Removes the reservation of a placement, if it has one.
   * @param placement - Placement that no longer waits for an answer.
   */
  end(placement: Placement): void {
    if (placement.reservation !== undefined) {
      this.placementsById.delete(placement.reservation.id);
      placement.reservation = undefined;
    }
  }

  /**
   * Gets the placement of a reservation at an owner.
   * @param owner - Daemon that answered.
   * @param id - Id of the reservation that it answered.
   */
  getPlacement(owner: string, id: number): Placement | undefined {
    const placement = this.placementsById.get(id);
    return placement?.reservation?.owner === owner ? placement : undefined;
  }

  /**
   * Gets the placements whose reservation is past its deadline.
   * @param now - Current time.
   */
  getOverduePlacements(now: Instant): Placement[] {
    return [...this.placementsById.values()].filter(
      ({ reservation }) => (reservation?.deadline ?? now) <= now,
    );
  }

  /**
   * Gets the placements with a reservation at a daemon.
   * @param owner - Name of the daemon.
   */
  getPlacementsByOwner(owner: string): Placement[] {
    return [...this.placementsById.values()].filter(
      ({ reservation }) => reservation?.owner === owner,
    );
  }
}
