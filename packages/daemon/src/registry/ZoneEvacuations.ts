import {
  isZoneName,
  type EvacuationChange,
  type EvacuationSource,
  type RegistryChange,
  type RegistryUpdate,
  type UpstreamTable,
} from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";

/** Unreadable names that are remembered, so that each is logged once. */
const maxRefusedNames = 64;
const maxShownLength = 64;

/** Dependencies of the evacuations. */
export interface ZoneEvacuationDependencies {
  readonly upstreams: UpstreamTable;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Applies the evacuations that the registry or a peer lists to the table of upstreams, and logs them. */
export class ZoneEvacuations {
  private readonly refusedNames = new Set<string>();

  private constructor(private readonly dependencies: ZoneEvacuationDependencies) {}

  /**
   * Creates an instance that has applied nothing.
   * @param dependencies - Dependencies of the evacuations.
   */
  static create(dependencies: ZoneEvacuationDependencies): ZoneEvacuations {
    return new ZoneEvacuations(dependencies);
  }

  /**
   * Applies what a response of the registry tells.
   * @param update - The response.
   * @param isFullRead - Whether it has the whole content of the registry.
   * @param requestedAt - When it was requested.
   */
  applyUpdate({ changes }: RegistryUpdate, isFullRead: boolean, requestedAt: number): void {
    const { upstreams } = this.dependencies;
    const read = this.readChanges(changes);
    const zones = read.map(({ zone }) => zone);
    const applied = isFullRead
      ? upstreams.applyEvacuations({ zones, source: "registry", asOf: requestedAt })
      : upstreams.applyEvacuationChanges(read, requestedAt);
    this.record(applied, "registry");
  }

  /**
   * Applies the list of a peer; without a list the known zones are kept.
   * @param zones - Evacuated zones; undefined when the peer does not name them.
   * @param asOf - Time as of which the peer knows them.
   */
  applyPeerZones(zones: readonly string[] | undefined, asOf: number): void {
    const { upstreams } = this.dependencies;
    if (zones === undefined) {
      upstreams.evacuations.recordUnknown();
    } else {
      const known = zones.filter(isZoneName);
      this.record(upstreams.applyEvacuations({ zones: known, source: "peer", asOf }), "peer");
    }
  }

  /** Gets the evacuations among changes; an unreadable one is logged once. */
  private readChanges(changes: readonly RegistryChange[]): readonly EvacuationChange[] {
    return changes.flatMap((change) => {
      if (change.kind !== "zoneEvacuated" && change.kind !== "zoneReturned") {
        return [];
      }
      const { zone } = change;
      if (!isZoneName(zone)) {
        this.recordRefusal(zone);
        return [];
      }
      return [{ zone, isEvacuated: change.kind === "zoneEvacuated" }];
    });
  }

  /** Logs zones whose evacuation starts or ends, and those that no upstream has, as the key may be misspelt. */
  private record(changes: readonly EvacuationChange[], source: EvacuationSource): void {
    const { upstreams, record } = this.dependencies;
    for (const { zone, isEvacuated } of changes) {
      const entries = upstreams.getEntries().filter((entry) => entry.record.zone === zone);
      const running = entries.reduce((sum, entry) => sum + entry.running, 0);
      const fields = { zone, source, upstreams: entries.length, running };
      record(
        isEvacuated ? "warn" : "info",
        isEvacuated ? "zone.evacuated" : "zone.returned",
        fields,
      );
      if (isEvacuated && entries.length === 0) {
        record("warn", "zone.unknown", { zone });
      }
    }
  }

  private recordRefusal(name: string): void {
    if (this.refusedNames.has(name) || this.refusedNames.size >= maxRefusedNames) {
      return;
    }
    this.refusedNames.add(name);
    const detail = `"${name.slice(0, maxShownLength)}" is no name of a zone`;
    this.dependencies.record("warn", "evacuation.refused", { detail });
  }
}
