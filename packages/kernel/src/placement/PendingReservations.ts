import type { Instant } from "../kernel/Plugin.js";
import type { Placement, PendingReservation } from "./Placement.js";

/** The reservations that wait for their owners' answers, each with its placement. */
export class PendingReservations {
  private readonly placementsById = new Map<number, Placement>();
  private nextId = 0;

  private constructor() {
    // Reservations are made by `create`.
  }

  /** Creates a set without any reservation. */
  static create(): PendingReservations {
    return new PendingReservations();
  }

  /** Gets the number of reservations that wait. */
  getSize(): number {
    return this.placementsById.size;
  }

  /**
   * Begins a reservation in place of the one that the placement had, and returns its id.
   * @param placement - Placement that waits for the answer.
   * @param details - Whom it asks, and until when it waits.
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
   * Ends the wait of a placement, if it has one.
   * @param placement - Placement that waits no longer.
   */
  end(placement: Placement): void {
    if (placement.reservation !== undefined) {
      this.placementsById.delete(placement.reservation.id);
      placement.reservation = undefined;
    }
  }

  /**
   * Gets the placement that waits for an answer of an owner.
   * @param owner - Daemon that answered.
   * @param id - Reservation that it answered.
   */
  getPlacement(owner: string, id: number): Placement | undefined {
    const placement = this.placementsById.get(id);
    return placement?.reservation?.owner === owner ? placement : undefined;
  }

  /**
   * Gets the placements whose wait is over.
   * @param now - Current time.
   */
  getOverduePlacements(now: Instant): Placement[] {
    return [...this.placementsById.values()].filter(
      ({ reservation }) => (reservation?.deadline ?? now) <= now,
    );
  }

  /**
   * Gets the placements that wait for a daemon.
   * @param owner - Name of the daemon.
   */
  getPlacementsByOwner(owner: string): Placement[] {
    return [...this.placementsById.values()].filter(
      ({ reservation }) => reservation?.owner === owner,
    );
  }
}
