import type { ServiceCapacity } from "./ServiceCapacity.js";

/** What a daemon knows of the daemons that share the upstreams. */
export interface FleetSize {
  /** Largest number of daemons that were seen at once, this one included. */
  readonly daemons: number;
  /** Daemons whose running counts are known, this one included. */
  readonly heard: number;
}

/** Part of the slots up to which everything is sent while nothing waits at the upstreams. */
const ampleRatio = 0.5;

/**
 * Part of the slots that requests of each priority may use; the last one holds for all that follow. Upstreams have
 * short queues ordered by priority, so that the most urgent may exceed the slots a little. With 1.0 and 0.9 for the less
 * urgent, 80% of the most urgent were served in their objective at four times the load, in place of 91% (loads.test.ts).
 */
const usableRatios = [1.1, 0.95, 0.85];

/** Age of the peers' running counts: what this daemon borrows follows from counts that are as old. */
const baselinePeriodMilliseconds = 1_000;

/** Time in which the slots that count rise from none to all, so that what waits does not come at once. */
const rampMilliseconds = 3_000;

/** Even parts of the free slots that a daemon may borrow at once, as it may have three times the callers of another. */
const borrowedParts = 3;

/** Upstreams with recent reports from which on these reports stand for all upstreams. */
const minReports = 2;

/** The requests that one daemon may have in flight at the upstreams of a service. */
export class CapacityShare {
  private slots: number | undefined;
  private usedSlots = 0;
  private updatedAt = -Infinity;
  private baselineAt = -Infinity;
  private baselineRunning = 0;
  private baselineTaken = 0;
  private taken = 0;
  private running = 0;
  private daemons = 1;
  /** Whether much is free, or there are no slots to wait for. */
  private hasFreeSlots = true;

  private constructor() {
    // Created through the static method.
  }

  /** Creates the share of a daemon that knows of no upstreams. */
  static create(): CapacityShare {
    return new CapacityShare();
  }

  /**
   * Updates the share by what the daemon knows now.
   * @param capacity - Capacity of the service.
   * @param fleet - Daemons that share it.
   * @param now - Monotonic time.
   */
  update(capacity: ServiceCapacity, fleet: FleetSize, now: number): void {
    this.usedSlots = this.getRampedSlots(capacity.slots, now);
    this.slots = capacity.slots;
    this.updatedAt = now;
    this.daemons = Math.max(1, fleet.daemons);
    this.running = capacity.running;
    this.taken = Math.max(1, getTaken(capacity, fleet));
    this.hasFreeSlots =
      capacity.slots === 0 || (capacity.waiting === 0 && this.taken < capacity.slots * ampleRatio);
    if (now - this.baselineAt >= baselinePeriodMilliseconds) {
      this.baselineAt = now;
      this.baselineRunning = this.running;
      this.baselineTaken = this.taken;
    }
  }

  /** Checks whether everything may be sent: much is free, or there is nothing to wait for. */
  isAmple(): boolean {
    return this.hasFreeSlots;
  }

  /**
   * Gets the number of own requests up to which a request of a priority may be sent.
   * @param priority - Priority from 0, the most urgent.
   */
  getLimit(priority: number): number {
    const ratio = usableRatios[Math.min(priority, usableRatios.length - 1)] ?? 1;
    const usable = this.usedSlots * ratio;
    const evenPart = usable / this.daemons;
    const scaledBaseline = this.baselineRunning * (usable / this.baselineTaken);
    const scaledRunning = this.running * (usable / this.taken);
    const free = Math.max(0, usable - this.taken);
    const borrowed = free === 0 ? 0 : this.baselineRunning + (borrowedParts * free) / this.daemons;
    return Math.max(1, evenPart, Math.min(scaledBaseline, scaledRunning), borrowed);
  }

  private getRampedSlots(slots: number, now: number): number {
    if (this.slots === undefined || slots <= this.usedSlots) {
      return slots;
    }
    const step = (slots * (now - this.updatedAt)) / rampMilliseconds;
    return Math.min(slots, this.usedSlots + step);
  }
}

/** Peers that are not heard count with their even part, unless the reports of upstreams tell what is taken. */
function getTaken(
  { slots, taken, reports, reportedUse }: ServiceCapacity,
  { daemons, heard }: FleetSize,
): number {
  const missing = Math.max(0, daemons - heard);
  if (missing === 0) {
    return taken;
  }
  const assumed = reports >= minReports ? slots * reportedUse : taken + (missing * slots) / daemons;
  return Math.max(taken, assumed);
}
