import { expiryGraceMilliseconds } from "./constants.js";
import type { Upstream } from "./schema.js";
import { UpstreamEntry } from "./UpstreamEntry.js";

/** The upstreams that the registry lists, with the state that this daemon keeps of each. */
export class UpstreamTable {
  private readonly entriesById = new Map<string, UpstreamEntry>();
  private gracePeriodEndsAt = -Infinity;

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty table. */
  static create(): UpstreamTable {
    return new UpstreamTable();
  }

  /** Gets all entries in the order in which they were added. */
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
   * Adds or updates the entry of an upstream. A new incarnation under a known id starts without
   * history; a record that is older than the known one is ignored.
   * @param record - Record that the upstream published.
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
   * Removes the entry of an upstream that the registry no longer lists. Shortly after an outage of
   * the registry the record may have expired although the upstream still runs, so a ready upstream
   * is kept until the grace period ends.
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
   * Starts the grace period, when the registry answers again after an outage.
   * @param now - Monotonic time.
   */
  startGracePeriod(now: number): void {
    this.gracePeriodEndsAt = now + expiryGraceMilliseconds;
  }

  /**
   * Removes the expired entries once the grace period is over, and gets their ids.
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
