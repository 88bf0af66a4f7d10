import type { Instant } from "../kernel/Plugin.js";
import type { PlacementDaemon, PlacementEngine, ViewMessage } from "./messages.js";

interface KnownDaemon extends PlacementDaemon {
  /** When the daemon came onto the list; it need not have been heard until some time later. */
  readonly listedAt: Instant;
  isListed: boolean;
}

/** When the newest message of a daemon must have come for it to be taken for live. */
export interface LivenessLimits {
  readonly listedReceivedSince: Instant;
  readonly unlistedReceivedSince: Instant;
}

interface KnownEngine {
  readonly entry: PlacementEngine;
  /** Until when an engine that the list lacks is still counted. */
  readonly countedUntil: Instant;
}

const absentEngineRetentionMilliseconds = 10_000;

/**
 * The daemons and engines that the views named. Daemons disagree for seconds about the list, so a
 * daemon that is heard stays, and an engine that vanished without a sign is still counted.
 */
export class FleetMembers {
  private readonly daemonsByName = new Map<string, KnownDaemon>();
  private readonly enginesByName = new Map<string, KnownEngine>();

  private constructor(private readonly daemon: string) {}

  /**
   * Creates an empty roster.
   * @param daemon - Name of the daemon that keeps it.
   */
  static create(daemon: string): FleetMembers {
    return new FleetMembers(daemon);
  }

  /**
   * Takes over a view.
   * @param view - The view.
   * @param now - Current time.
   */
  setView(view: ViewMessage, now: Instant): void {
    for (const listed of this.daemonsByName.values()) {
      listed.isListed = false;
    }
    for (const { name, zone } of view.daemons) {
      const listedAt = this.daemonsByName.get(name)?.listedAt ?? now;
      this.daemonsByName.set(name, { name, zone, listedAt, isListed: true });
    }
    this.keepAbsentEngines(view.engines, now);
    for (const entry of view.engines) {
      this.enginesByName.set(entry.name, { entry, countedUntil: Infinity });
    }
  }

  /**
   * Forgets a daemon until the next view lists it.
   * @param name - Name of the daemon.
   */
  removeDaemon(name: string): void {
    this.daemonsByName.delete(name);
  }

  /**
   * Gets the daemons that are taken for live: this one, those heard of late, and new ones.
   * @param getReceivedAt - Tells when a daemon was last heard.
   * @param limits - Instants before which the newest message is too old.
   */
  getLiveDaemons(
    getReceivedAt: (name: string) => Instant | undefined,
    limits: LivenessLimits,
  ): PlacementDaemon[] {
    return [...this.daemonsByName.values()].filter(({ name, listedAt, isListed }) => {
      const receivedSince = isListed ? limits.listedReceivedSince : limits.unlistedReceivedSince;
      const isNew = isListed && listedAt >= receivedSince;
      return name === this.daemon || isNew || (getReceivedAt(name) ?? -Infinity) >= receivedSince;
    });
  }

  /** Gets the other daemons that the newest view lists or that were kept. */
  getPeers(): string[] {
    return [...this.daemonsByName.keys()].filter((name) => name !== this.daemon);
  }

  /**
   * Gets the engines of the newest view, and as not eligible those that it lacks.
   * @param now - Current time.
   */
  getEngines(now: Instant): PlacementEngine[] {
    this.removeExpiredEngines(now);
    return [...this.enginesByName.values()].map(({ entry }) => entry);
  }

  /** Gets the names of the engines that the newest view lacks. */
  getAbsentEngines(): string[] {
    return [...this.enginesByName.values()]
      .filter(({ countedUntil }) => countedUntil !== Infinity)
      .map(({ entry }) => entry.name);
  }

  /**
   * Removes the daemons that neither the list names nor any message shows.
   * @param live - The daemons that are taken for live.
   */
  removeUnlistedDaemons(live: readonly PlacementDaemon[]): void {
    const names = new Set(live.map(({ name }) => name));
    for (const { name, isListed } of [...this.daemonsByName.values()]) {
      if (!isListed && !names.has(name)) {
        this.daemonsByName.delete(name);
      }
    }
  }

  private keepAbsentEngines(listed: readonly PlacementEngine[], now: Instant): void {
    const names = new Set(listed.map(({ name }) => name));
    for (const { entry, countedUntil } of [...this.enginesByName.values()]) {
      if (!names.has(entry.name)) {
        this.enginesByName.set(entry.name, {
          entry: { ...entry, eligible: false },
          countedUntil: Math.min(countedUntil, now + absentEngineRetentionMilliseconds),
        });
      }
    }
  }

  private removeExpiredEngines(now: Instant): void {
    for (const { entry, countedUntil } of [...this.enginesByName.values()]) {
      if (countedUntil <= now) {
        this.enginesByName.delete(entry.name);
      }
    }
  }
}
