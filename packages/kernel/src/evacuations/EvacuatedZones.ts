/**
 * Time after a restoration of the registry for which a zone that its list lacks stays evacuated. Operators repeat lost
 * writes within 2 s; a watch in progress may report one up to 1.5 s late.
 */
const restoredListMilliseconds = 4_000;

/** Where a daemon learns of the evacuated zones. */
export type EvacuationSource = "registry" | "peer";

/** A complete list of the evacuated zones. */
export interface ZoneList {
  readonly zones: readonly string[];
  readonly source: EvacuationSource;
  /** Time up to which it covers all writes: that of its request, for a peer less the age of what the peer knows. */
  readonly asOf: number;
}

/** A zone whose evacuation starts or ends. */
export interface EvacuationChange {
  readonly zone: string;
  readonly isEvacuated: boolean;
}

/**
 * The zones that operators have evacuated. The registry's own list follows from its responses only, since a watch
 * continues from them and tells no change twice; the list of a peer takes its place until the registry responds again.
 *
 * A registry that was restored from an older copy may lack an evacuation that it had acknowledged, so that no list ends
 * one before operators could repeat it. Times are monotonic milliseconds.
 */
export class EvacuatedZones {
  private registryZones: ReadonlySet<string> = new Set();
  /** List of the peer that was asked after the last response of the registry. */
  private peerZones: ReadonlySet<string> | undefined;
  /** Zones that stay evacuated although a list lacked them, since the list is from the time of a restoration. */
  private retainedZones: ReadonlySet<string> = new Set();
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
    return (this.peerZones ?? this.registryZones).has(zone) || this.retainedZones.has(zone);
  }

  /** Gets the evacuated zones in alphabetical order. */
  getZones(): readonly string[] {
    return [...new Set([...(this.peerZones ?? this.registryZones), ...this.retainedZones])].sort();
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
   * Applies a complete list, which replaces the known zones. During a restoration it ends no evacuation.
   * @param list - The list.
   * @returns Zones whose evacuation starts or ends.
   */
  applyList({ zones, source, asOf }: ZoneList): readonly EvacuationChange[] {
    const before = this.getZones();
    if (source === "registry") {
      this.registryZones = new Set(zones);
      this.peerZones = undefined;
    } else {
      this.peerZones = new Set(zones);
    }
    return this.completeUpdate(before, new Set(), asOf);
  }

  /**
   * Applies the changes that a watch of the registry tells, if any. A removal is newer than any restoration, so that it
   * takes effect at once.
   * @param changes - Writes and removals of evacuations, in their order.
   * @param requestedAt - When the watch was requested.
   * @returns Zones whose evacuation starts or ends.
   */
  applyChanges(
    changes: readonly EvacuationChange[],
    requestedAt: number,
  ): readonly EvacuationChange[] {
    const before = this.getZones();
    const zones = new Set(this.registryZones);
    for (const { zone, isEvacuated } of changes) {
      if (isEvacuated) {
        zones.add(zone);
      } else {
        zones.delete(zone);
      }
    }
    this.registryZones = zones;
    this.peerZones = undefined;
    return this.completeUpdate(before, new Set(changes.map(({ zone }) => zone)), requestedAt);
  }

  /**
   * Retains zones that are missing during a restoration, except those that a watch has just changed.
   * @returns Zones whose evacuation starts or ends.
   */
  private completeUpdate(
    before: readonly string[],
    changed: ReadonlySet<string>,
    asOf: number,
  ): readonly EvacuationChange[] {
    this.isCurrent = true;
    const isRestored = asOf < this.restorationEndsAt;
    this.retainedZones = new Set(isRestored ? before.filter((zone) => !changed.has(zone)) : []);
    const known = new Set(before);
    return [
      ...this.getZones()
        .filter((zone) => !known.has(zone))
        .map((zone) => ({ zone, isEvacuated: true })),
      ...before
        .filter((zone) => !this.isEvacuated(zone))
        .map((zone) => ({ zone, isEvacuated: false })),
    ];
  }
}
