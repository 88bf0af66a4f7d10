import { EvacuatedZones, type EvacuationChange, type ZoneList } from "../evacuations/index.js";
import { expiryGraceMilliseconds, firstListMilliseconds } from "./constants.js";
import { DepartedUpstreams, type UpstreamIncarnation } from "./DepartedUpstreams.js";
import type { LimitShare } from "./LimitShare.js";
import type { Upstream } from "./schema.js";
import type { StartShare } from "./StartShare.js";
import { UpstreamEntry } from "./UpstreamEntry.js";

/** The upstreams that the registry lists, with the state that this daemon keeps of each. */
export class UpstreamTable {
  /** Zones whose upstreams get no requests. */
  readonly evacuations = EvacuatedZones.create();
  private readonly entriesById = new Map<string, UpstreamEntry>();
  private readonly departed = DepartedUpstreams.create();
  private gracePeriodEndsAt = -Infinity;
  /** When the first upstream was listed; undefined until then. */
  private firstListedAt: number | undefined;

  /** Creates an empty table. */
  static create(): UpstreamTable {
    return new UpstreamTable();
  }

  /** Gets all entries in the order in which they were added. */
  getEntries(): readonly UpstreamEntry[] {
    return [...this.entriesById.values()];
  }

  /** Gets an entry by the hash of its upstream's id. */
  getEntryByHash(hash: number): UpstreamEntry | undefined {
    return this.getEntries().find((entry) => entry.hash === hash);
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
    return getMedian(this.getOthers(entry).map((each) => each.getFailureRate()));
  }

  /**
   * Gets the median of the usual times to the first byte of the other upstreams of an upstream's service; 0 without any.
   * @param entry - The upstream.
   */
  getMedianFirstByte(entry: UpstreamEntry): number {
    return getMedian(
      this.getOthers(entry).flatMap((each) => each.getFirstByteMilliseconds() ?? []),
    );
  }

  private getOthers(entry: UpstreamEntry): readonly UpstreamEntry[] {
    return this.getEntries().filter(
      (each) => each.record.service === entry.record.service && each !== entry,
    );
  }

  /**
   * Adds or updates the entry of an upstream. A new incarnation under a known id starts without
   * history; a record that is older than the known one, or than one that was removed before a
   * restoration of the registry, is ignored. An incarnation that leaves stays out of service
   * whatever later records say.
   * @param record - Record that the upstream published.
   * @param now - Monotonic time.
   */
  addUpstream(record: Upstream, now: number): void {
    const entry = this.entriesById.get(record.id);
    if (entry === undefined || record.bornAt > entry.record.bornAt) {
      this.addIncarnation(record, now);
      return;
    }
    const isOlder = record.bornAt < entry.record.bornAt || record.sequence < entry.record.sequence;
    if (!isOlder) {
      if (record.sequence > entry.record.sequence) {
        recordCold(entry, record, now);
      }
      entry.record = record;
      entry.isEvacuated = this.evacuations.isEvacuated(record.zone);
      entry.expiredAt = undefined;
      this.recordDraining(record);
    }
  }

  /**
   * Marks an incarnation as leaving: it gets no further requests.
   * @param incarnation - Incarnation that announced it, to this daemon or to a peer.
   * @returns Whether this was not known before.
   */
  markLeaving(incarnation: UpstreamIncarnation): boolean {
    const isNew = this.departed.addLeaving(incarnation);
    const entry = this.entriesById.get(incarnation.id);
    if (entry !== undefined && entry.record.bornAt <= incarnation.bornAt) {
      entry.isLeaving = true;
    }
    return isNew;
  }

  /**
   * Checks whether an upstream of a service that takes requests has a software version.
   * @param service - Name of the service.
   * @param softwareVersion - The version.
   */
  isVersionServed(service: string, softwareVersion: string): boolean {
    return this.getEntries().some(
      (entry) =>
        entry.record.service === service &&
        entry.record.softwareVersion === softwareVersion &&
        entry.isOffered(),
    );
  }

  /**
   * Checks whether all upstreams of a service that are in service are in evacuated zones, and there is one.
   * @param service - Name of the service.
   */
  isServiceEvacuated(service: string): boolean {
    const entries = this.getEntries().filter(
      (entry) => entry.record.service === service && entry.isInService(),
    );
    return entries.length > 0 && entries.every(({ isEvacuated }) => isEvacuated);
  }

  /**
   * Gets the earliest time at which an upstream of a service ends its rest; undefined when none rests.
   * @param service - Name of the service.
   * @param now - Monotonic time.
   */
  getEarliestRestEnd(service: string, now: number): number | undefined {
    const ends = this.getEntries()
      .filter((entry) => entry.record.service === service && entry.isOffered())
      .filter((entry) => entry.isResting(now))
      .map((entry) => entry.getRestEnd());
    return ends.length === 0 ? undefined : Math.min(...ends);
  }

  /**
   * Gets the earliest time at which an upstream of a service that named a limit takes a request of this
   * daemon; undefined when none has named one.
   * @param service - Name of the service.
   * @param now - Monotonic time.
   * @param limitShare - What this daemon may use of each limit.
   */
  getEarliestLimitSlot(service: string, now: number, limitShare: LimitShare): number | undefined {
    const slots = this.getEntries()
      .filter((entry) => entry.record.service === service && entry.isOffered())
      .filter(({ limit }) => limit.getPerSecond() !== undefined)
      .map(({ limit }) => limit.getNextSlot(now, limitShare));
    return slots.length === 0 ? undefined : Math.min(...slots);
  }

  /**
   * Gets the earliest time at which a cold upstream of a service takes a request of this daemon; undefined when none is
   * cold.
   * @param service - Name of the service.
   * @param now - Monotonic time.
   * @param share - What this daemon may use of the rate that a cold upstream tolerates.
   */
  getEarliestStartSlot(service: string, now: number, share: StartShare): number | undefined {
    const unpaced = { ...share, pace: undefined };
    const slots = this.getEntries()
      .filter((entry) => entry.record.service === service && entry.isOffered())
      .flatMap((entry) => entry.start.getNextSlot(now, unpaced) ?? []);
    return slots.length === 0 ? undefined : Math.min(...slots);
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
    this.departed.removeHeld(id);
    if (entry === undefined) {
      return;
    }
    if (now < this.gracePeriodEndsAt && entry.isInService()) {
      entry.expiredAt ??= now;
      return;
    }
    this.deleteEntry(entry);
  }

  /**
   * Starts the grace period, when the registry answers again after an outage.
   * @param now - Monotonic time.
   */
  startGracePeriod(now: number): void {
    this.gracePeriodEndsAt = now + expiryGraceMilliseconds;
  }

  /**
   * Prepares for a list of the registry that was restored from an older copy: upstreams that it
   * lacks are kept for the grace period, and those that were removed do not return by it.
   * @param now - Monotonic time.
   */
  startRestoration(now: number): void {
    this.startGracePeriod(now);
    this.departed.startRestoration(now);
    this.evacuations.startRestoration(now);
  }

  /**
   * Applies a complete list of the evacuated zones.
   * @param list - The list.
   * @returns Zones whose evacuation starts or ends.
   */
  applyEvacuations(list: ZoneList): readonly EvacuationChange[] {
    return this.markEvacuated(this.evacuations.applyList(list));
  }

  /**
   * Applies the changes to the evacuated zones that a watch tells, if any.
   * @param changes - The changes, in the order in which they were written.
   * @param requestedAt - When the watch was requested.
   * @returns Zones whose evacuation starts or ends.
   */
  applyEvacuationChanges(
    changes: readonly EvacuationChange[],
    requestedAt: number,
  ): readonly EvacuationChange[] {
    return this.markEvacuated(this.evacuations.applyChanges(changes, requestedAt));
  }

  /**
   * Adds the records that were held back during a restoration, once it is over.
   * @param now - Monotonic time.
   */
  addReleased(now: number): void {
    this.departed.takeReleased(now).forEach((record) => {
      this.addUpstream(record, now);
    });
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
    expired.forEach((entry) => {
      this.deleteEntry(entry);
    });
    return expired.map(({ record }) => record.id);
  }

  private addIncarnation(record: Upstream, now: number): void {
    const hasRestarted = this.entriesById.has(record.id) || this.departed.isNewer(record);
    if (this.departed.hold(record, now)) {
      return;
    }
    const former = this.entriesById.get(record.id);
    const entry = UpstreamEntry.create(record, now, former?.start);
    this.firstListedAt ??= now;
    if (former !== undefined || now - this.firstListedAt >= firstListMilliseconds) {
      entry.start.recordStart(now);
    }
    recordCold(entry, record, now);
    entry.restartedAt = hasRestarted ? now : -Infinity;
    entry.isLeaving = this.departed.isLeaving(record);
    entry.isEvacuated = this.evacuations.isEvacuated(record.zone);
    this.entriesById.set(record.id, entry);
    this.recordDraining(record);
  }

  private markEvacuated(changes: readonly EvacuationChange[]): readonly EvacuationChange[] {
    for (const entry of this.getEntries()) {
      entry.isEvacuated = this.evacuations.isEvacuated(entry.record.zone);
    }
    return changes;
  }

  private deleteEntry({ record }: UpstreamEntry): void {
    this.departed.addRemoval(record);
    this.entriesById.delete(record.id);
  }

  /** An incarnation that drains never becomes ready again, whatever an outdated list says. */
  private recordDraining(record: Upstream): void {
    if (record.state === "draining") {
      this.markLeaving(record);
    }
  }
}

function getMedian(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}

/** Applies how long an upstream is still cold by a record that was not known before. */
function recordCold(entry: UpstreamEntry, { coldMilliseconds }: Upstream, now: number): void {
  if (coldMilliseconds !== undefined) {
    entry.start.recordCold(coldMilliseconds, now);
  }
}
