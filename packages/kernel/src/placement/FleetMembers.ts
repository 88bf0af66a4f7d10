import type { Instant } from "../kernel/Plugin.js";
import type { PlacementDaemon, PlacementEngine, ViewMessage } from "./messages.js";

interface KnownDaemon extends PlacementDaemon {
  /** When the daemon was first listed. Its first message may arrive some time later. */
  readonly listedAt: Instant;
  isListed: boolean;
}

/** A daemon is live if its newest message was received at or after these instants. */
export interface LivenessLimits {
  readonly listedReceivedSince: Instant;
  readonly unlistedReceivedSince: Instant;
}

interface KnownEngine {
  readonly entry: PlacementEngine;
  /** Until when an engine that is missing from the view is still counted. */
  readonly countedUntil: Instant;
}

const absentEngineRetentionMilliseconds = 10_000;

/**
 * The daemons and engines of the views. The views of different daemons can disagree for seconds. So
 * a missing daemon is kept as long as it sends messages, and a missing engine is still counted for
 * some time.
 */
export class FleetMembers {
  private readonly daemonsByName = new Map<string, KnownDaemon>();
  private readonly enginesByName = new Map<string, KnownEngine>();

  private constructor(private readonly daemon: string) {}

  /**
   * Creates a fleet without members.
   * @param daemon - Name of this daemon.
   */
  static create(daemon: string): FleetMembers {
    return new FleetMembers(daemon);
  }

  /**
   * Replaces the listed daemons and engines.
   * @param view - New view.
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
   * Removes a daemon until the next view lists it.
   * @param name - Name of the daemon.
   */
  removeDaemon(name: string): void {
    this.daemonsByName.delete(name);
  }

  /**
   * Gets the live daemons: this one, those with a recent message, and recently listed ones.
   * @param getReceivedAt - Gets when the newest message of a daemon was received.
   * @param limits - Instants since which a message must have been received.
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

  /** Gets the other daemons that the newest view lists, and those that are still kept. */
  getPeers(): string[] {
    return [...this.daemonsByName.keys()].filter((name) => name !== this.daemon);
  }

  /**
   * Gets the engines of the newest view, and as ineligible those that are missing from it.
   * @param now - Current time.
   */
  getEngines(now: Instant): PlacementEngine[] {
    this.removeExpiredEngines(now);
    return [...this.enginesByName.values()].map(({ entry }) => entry);
  }

  /** Gets the names of the engines that are missing from the newest view. */
  getAbsentEngines(): string[] {
    return [...this.enginesByName.values()]
      .filter(({ countedUntil }) => countedUntil !== Infinity)
      .map(({ entry }) => entry.name);
  }

  /**
   * Removes the daemons that are neither listed nor live.
   * @param live - The live daemons.
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
