import { expiryGraceMilliseconds } from "./constants.js";
import type { Upstream } from "./schema.js";
import { UpstreamEntry } from "./UpstreamEntry.js";

/** The upstreams that the registry names, with what this daemon has learnt of each. */
export class UpstreamTable {
  private readonly entriesById = new Map<string, UpstreamEntry>();
  private gracePeriodEndsAt = -Infinity;

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty book. */
  static create(): UpstreamTable {
    return new UpstreamTable();
  }

  /** Gets every entry, in the order in which they were added. */
  getEntries(): readonly UpstreamEntry[] {
    return [...this.entriesById.values()];
  }

  /** Gets an entry by the id of its upstream. */
  getEntry(id: string): UpstreamEntry | undefined {
    return this.entriesById.get(id);
  }

  /**
   * Gets the median failure rate of the other upstreams of an upstream's service.
   * @param entry - The upstream.
   */
  getMedianFailureRate(entry: UpstreamEntry): number {
    const rates = this.getEntries()
      .filter((each) => each.record.service === entry.record.service && each !== entry)
      .map((each) => each.getFailureRate())
      .sort((a, b) => a - b);
    return rates[Math.floor(rates.length / 2)] ?? 0;
  }

  /**
   * Takes what an upstream says of itself. A new incarnation under a known id starts without
   * history; a record that is older than the known one changes nothing.
   * @param record - What the upstream says.
   * @param now - Monotonic time.
   */
  addUpstream(record: Upstream, now: number): void {
    const entry = this.entriesById.get(record.id);
    if (entry === undefined || record.bornAt > entry.record.bornAt) {
      this.entriesById.set(record.id, UpstreamEntry.create(record, now));
      return;
    }
    const isOlder = record.bornAt < entry.record.bornAt || record.sequence < entry.record.sequence;
    if (!isOlder) {
      entry.record = record;
      entry.expiredAt = undefined;
    }
  }

  /**
   * Takes the removal of an upstream's entry. Shortly after the registry was away the entry may
   * have lapsed although the upstream lives, so it is kept for a grace.
   * @param id - Id of the upstream.
   * @param now - Monotonic time.
   */
  removeUpstream(id: string, now: number): void {
    const entry = this.entriesById.get(id);
    if (entry === undefined) {
      return;
    }
    if (now < this.gracePeriodEndsAt && entry.record.state === "ready") {
      entry.expiredAt ??= now;
      return;
    }
    this.entriesById.delete(id);
  }

  /**
   * Notes that the registry answers again after it was away.
   * @param now - Monotonic time.
   */
  startGracePeriod(now: number): void {
    this.gracePeriodEndsAt = now + expiryGraceMilliseconds;
  }

  /**
   * Removes lapsed entries whose grace is over, and gets their ids.
   * @param now - Monotonic time.
   */
  removeExpired(now: number): readonly string[] {
    if (now < this.gracePeriodEndsAt) {
      return [];
    }
    const expired = this.getEntries().filter(({ expiredAt }) => expiredAt !== undefined);
    const ids = expired.map(({ record }) => record.id);
    ids.forEach((id) => this.entriesById.delete(id));
    return ids;
  }
}
