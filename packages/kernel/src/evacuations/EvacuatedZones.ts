/**
 * Time after a restoration of the registry for which a zone that its list lacks stays evacuated. Operators repeat lost
 * writes within 2 s; a watch in progress may report one up to 1.5 s late.
 */
const restoredListMilliseconds = 4_000;

/** A complete list of the evacuated zones. */
export interface ZoneList {
  readonly zones: readonly string[];
  /** When the list was requested. */
  readonly requestedAt: number;
}

/** A zone whose evacuation starts or ends. */
export interface EvacuationChange {
  readonly zone: string;
  readonly isEvacuated: boolean;
}

/**
 * The zones that operators have evacuated, as the registry lists them. A registry that was restored from an older copy
 * may lack an evacuation that it had acknowledged, so that its list ends one only after a time. Times are monotonic
 * milliseconds.
 */
export class EvacuatedZones {
  private readonly zones = new Set<string>();
  /** Evacuated zones that the list of a restored registry lacks. */
  private readonly unlisted = new Set<string>();
  private restorationEndsAt = -Infinity;
  private isCurrent = false;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a set without zones, which counts as unknown until a list is applied. */
  static create(): EvacuatedZones {
    return new EvacuatedZones();
  }

  /** Checks whether a zone is evacuated. */
  isEvacuated(zone: string): boolean {
    return this.zones.has(zone);
  }

  /** Gets the evacuated zones in alphabetical order. */
  getZones(): readonly string[] {
    return [...this.zones].sort();
  }

  /**
   * Gets the evacuated zones for a peer; undefined when this daemon does not know them as of its last confirmation,
   * because it has read nothing or has taken the state of a build that does not name them.
   */
  getKnownZones(): string[] | undefined {
    return this.isCurrent ? [...this.getZones()] : undefined;
  }

  /**
   * Starts the time in which the registry, restored from an older copy, may lack evacuations.
   * @param now - Current time.
   */
  startRestoration(now: number): void {
    this.restorationEndsAt = now + restoredListMilliseconds;
  }

  /** Records that state was taken from a peer that does not name the evacuated zones; those known are kept. */
  recordUnknown(): void {
    this.isCurrent = false;
  }

  /**
   * Applies a complete list, which replaces the known zones. One that was requested during a restoration removes none.
   * @param list - The list.
   * @returns Zones whose evacuation starts or ends.
   */
  applyList({ zones, requestedAt }: ZoneList): readonly EvacuationChange[] {
    const listed = new Set(zones);
    const missing = this.getZones().filter((zone) => !listed.has(zone));
    this.unlisted.clear();
    missing.forEach((zone) => this.unlisted.add(zone));
    const started = [...listed].filter((zone) => !this.zones.has(zone));
    return [...this.applyChanges(started.map(toStart)), ...this.confirm(requestedAt)];
  }

  /**
   * Applies changes in the order in which they were written. They are newer than any restoration, so that they take
   * effect at once.
   * @param changes - Writes and removals of evacuations.
   * @returns Zones whose evacuation starts or ends.
   */
  applyChanges(changes: readonly EvacuationChange[]): readonly EvacuationChange[] {
    const before = new Set(this.zones);
    for (const { zone, isEvacuated } of changes) {
      this.unlisted.delete(zone);
      if (isEvacuated) {
        this.zones.add(zone);
      } else {
        this.zones.delete(zone);
      }
    }
    const zones = [...new Set(changes.map(({ zone }) => zone))];
    return zones
      .filter((zone) => before.has(zone) !== this.zones.has(zone))
      .map((zone) => ({ zone, isEvacuated: this.zones.has(zone) }));
  }

  /**
   * Records a response that covers everything written before it was requested. It ends the evacuations that the list
   * of a restored registry lacked, once the restoration is over. Without such a response they last.
   * @param requestedAt - When it was requested.
   * @returns Zones whose evacuation ends.
   */
  confirm(requestedAt: number): readonly EvacuationChange[] {
    this.isCurrent = true;
    if (requestedAt < this.restorationEndsAt) {
      return [];
    }
    return this.applyChanges([...this.unlisted].map((zone) => ({ zone, isEvacuated: false })));
  }
}

function toStart(zone: string): EvacuationChange {
  return { zone, isEvacuated: true };
}
