import type { Instant } from "../kernel/Plugin.js";
import type { PlacementDaemon, PlacementEngine, ViewMessage } from "./messages.js";

interface ListedDaemon extends PlacementDaemon {
  /** When the daemon came onto the list; it need not have been heard until some time later. */
  readonly since: Instant;
  isListed: boolean;
}

/** When the newest message of a daemon must have come for it to be taken for live. */
export interface SilenceLimits {
  readonly listedBefore: Instant;
  readonly unlistedBefore: Instant;
}

interface ListedEngine {
  readonly entry: PlacementEngine;
  /** Until when an engine that the list lacks is still counted. */
  readonly countedUntil: Instant;
}

const absentEngineMilliseconds = 10_000;

/**
 * The daemons and engines that the views named. Daemons disagree for seconds about the list, so a
 * daemon that is heard stays, and an engine that vanished without a sign is still counted.
 */
export class Roster {
  private readonly daemonsByName = new Map<string, ListedDaemon>();
  private readonly enginesByName = new Map<string, ListedEngine>();

  private constructor(private readonly daemon: string) {}

  /**
   * Creates an empty roster.
   * @param daemon - Name of the daemon that keeps it.
   */
  static create(daemon: string): Roster {
    return new Roster(daemon);
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
      const since = this.daemonsByName.get(name)?.since ?? now;
      this.daemonsByName.set(name, { name, zone, since, isListed: true });
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
   * @param heardAt - Tells when a daemon was last heard.
   * @param limits - Instants before which the newest message is too old.
   */
  getLiveDaemons(
    heardAt: (name: string) => Instant | undefined,
    limits: SilenceLimits,
  ): PlacementDaemon[] {
    return [...this.daemonsByName.values()].filter(({ name, since, isListed }) => {
      const silentBefore = isListed ? limits.listedBefore : limits.unlistedBefore;
      const isNew = isListed && since >= silentBefore;
      return name === this.daemon || isNew || (heardAt(name) ?? -Infinity) >= silentBefore;
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
    this.removeOldEngines(now);
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
          countedUntil: Math.min(countedUntil, now + absentEngineMilliseconds),
        });
      }
    }
  }

  private removeOldEngines(now: Instant): void {
    for (const { entry, countedUntil } of [...this.enginesByName.values()]) {
      if (countedUntil <= now) {
        this.enginesByName.delete(entry.name);
      }
    }
  }
}
