import { restoredEntryLifetimeMilliseconds } from "./constants.js";
import type { Upstream } from "./schema.js";

/** One incarnation of an upstream. */
export interface UpstreamIncarnation {
  readonly id: string;
  /** Start of the incarnation, in milliseconds since the epoch. */
  readonly bornAt: number;
}

interface Removal {
  readonly bornAt: number;
  readonly sequence: number;
}

const maxRemembered = 4_096;

/**
 * Remembers the incarnations that leave and the records that were removed, so that an outdated
 * list of the registry does not bring them back into use. Times are monotonic milliseconds.
 */
export class DepartedUpstreams {
  private readonly leavingBornAtById = new Map<string, number>();
  private readonly removalsById = new Map<string, Removal>();
  private readonly heldById = new Map<string, Upstream>();
  private restorationEndsAt = -Infinity;

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty memory. */
  static create(): DepartedUpstreams {
    return new DepartedUpstreams();
  }

  /**
   * Remembers that an incarnation leaves.
   * @returns Whether this was not known before.
   */
  addLeaving({ id, bornAt }: UpstreamIncarnation): boolean {
    const known = this.leavingBornAtById.get(id);
    if (known !== undefined && known >= bornAt) {
      return false;
    }
    addBounded(this.leavingBornAtById, id, bornAt);
    return true;
  }

  /** Checks whether an incarnation leaves or has left. */
  isLeaving({ id, bornAt }: UpstreamIncarnation): boolean {
    const known = this.leavingBornAtById.get(id);
    return known !== undefined && known >= bornAt;
  }

  /** Remembers a record that was removed from use. */
  addRemoval({ id, bornAt, sequence }: Upstream): void {
    addBounded(this.removalsById, id, { bornAt, sequence });
  }

  /** Checks whether a record is of a later incarnation than the one that was removed from use under its id. */
  isNewer({ id, bornAt }: UpstreamIncarnation): boolean {
    const removal = this.removalsById.get(id);
    return removal !== undefined && bornAt > removal.bornAt;
  }

  /** Forgets a record that is held back, because the registry no longer lists it. */
  removeHeld(id: string): void {
    this.heldById.delete(id);
  }

  /**
   * Starts the time in which the registry, restored from an older copy, may list upstreams that
   * have left.
   * @param now - Current time.
   */
  startRestoration(now: number): void {
    this.restorationEndsAt = now + restoredEntryLifetimeMilliseconds;
  }

  /**
   * Holds a record back if the restored registry lists it as it was before its removal. It is
   * released when the upstream writes again, or is still listed after the restoration.
   * @param record - Record that the registry lists.
   * @param now - Current time.
   * @returns Whether the record must not be used yet.
   */
  hold(record: Upstream, now: number): boolean {
    const removal = this.removalsById.get(record.id);
    const isOld =
      removal !== undefined &&
      (record.bornAt < removal.bornAt ||
        (record.bornAt === removal.bornAt && record.sequence <= removal.sequence));
    if (isOld && now < this.restorationEndsAt) {
      this.heldById.set(record.id, record);
      return true;
    }
    this.removalsById.delete(record.id);
    this.heldById.delete(record.id);
    return false;
  }

  /**
   * Removes and gets the records that were held back, once the restoration is over.
   * @param now - Current time.
   */
  takeReleased(now: number): readonly Upstream[] {
    if (now < this.restorationEndsAt || this.heldById.size === 0) {
      return [];
    }
    const released = [...this.heldById.values()];
    this.heldById.clear();
    return released;
  }
}

/** Adds an item as the newest one, and drops the oldest beyond the limit. */
function addBounded<Value>(map: Map<string, Value>, key: string, value: Value): void {
  map.delete(key);
  map.set(key, value);
  const [oldest] = map.keys();
  if (map.size > maxRemembered && oldest !== undefined) {
    map.delete(oldest);
  }
}
