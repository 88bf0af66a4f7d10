import type { ViewMessage } from "@pistachioway/kernel";
import type { Conditions } from "./conditions.js";
import type { Deployment } from "./deployment.js";
import { EngineModel } from "./EngineModel.js";
import { EventQueue } from "./EventQueue.js";
import { Random } from "./Random.js";

/** One daemon, with its own view of the engines and the other daemons. */
export interface DaemonModel {
  readonly name: string;
  readonly zone: string;
  isLive: boolean;
  /** For each engine, whether the daemon believes that it takes new work. */
  readonly knownLive: boolean[];
  /** For each engine, until when the daemon's list lacks it. */
  readonly engineHiddenUntil: number[];
  /** For each daemon, whether this one believes that it is live. */
  readonly knownDaemons: boolean[];
}

/** What other parts of a run do when the fleet changes. */
export interface FleetListener {
  viewChanged(daemon: number): void;
  engineCrashed(engine: number): void;
  daemonLost(daemon: number): void;
}

/** The load bound of every run, as a multiple of the mean. */
export const loadBound = 1.25;

const slotsPerEngine = 96;
const maxCachedTokensPerEngine = 200_000;
const warmUpSeconds = 40;

/** The engines and daemons of one run, and the faults that befall them. */
export class Fleet {
  readonly events = EventQueue.create();
  readonly random: Random;
  readonly engines: readonly EngineModel[];
  readonly daemons: readonly DaemonModel[];
  readonly measuredFrom = warmUpSeconds * 1000;
  readonly measuredUntil: number;
  /** Where a surge is asked for. */
  surge: { readonly from: number; readonly until: number } | undefined;
  /** Rises with each change of a load or of the live engines. */
  version = 0;
  private readonly listeners: FleetListener[] = [];

  private constructor(
    readonly deployment: Deployment,
    readonly conditions: Conditions,
    readonly seed: number,
  ) {
    this.random = Random.create(seed, 1);
    this.measuredUntil = this.measuredFrom + deployment.measuredSeconds * 1000;
    this.engines = Array.from({ length: deployment.engineCount }, (_, index) =>
      EngineModel.create(
        `engine-${String(index)}`,
        getZone(deployment, index),
        slotsPerEngine,
        maxCachedTokensPerEngine,
      ),
    );
    this.daemons = Array.from({ length: deployment.daemonCount }, (_, index) => ({
      name: `daemon-${String(index)}`,
      zone: getZone(deployment, index),
      isLive: true,
      knownLive: this.engines.map(() => true),
      engineHiddenUntil: this.engines.map(() => 0),
      knownDaemons: Array.from({ length: deployment.daemonCount }, () => true),
    }));
  }

  /**
   * Creates a fleet in which everything is live.
   * @param deployment - Sizes and distances.
   * @param conditions - Delays and losses.
   * @param seed - Seed of the run.
   */
  static create(deployment: Deployment, conditions: Conditions, seed: number): Fleet {
    return new Fleet(deployment, conditions, seed);
  }

  /**
   * Adds a listener.
   * @param listener - Told of every change.
   */
  addListener(listener: FleetListener): void {
    this.listeners.push(listener);
  }

  /**
   * Gets the one-way delay between two daemons, without any extra delay.
   * @param from - Sending daemon.
   * @param to - Receiving daemon.
   */
  getDelay(from: number, to: number): number {
    const isNear = this.daemons[from]?.zone === this.daemons[to]?.zone;
    return isNear ? 0.1 : this.deployment.zoneDelayMilliseconds;
  }

  /**
   * Gets whether a daemon believes that an engine takes new work.
   * @param daemon - The daemon.
   * @param engine - The engine.
   */
  isEligible(daemon: number, engine: number): boolean {
    const model = this.getDaemon(daemon);
    const isHidden = (model.engineHiddenUntil[engine] ?? 0) > this.events.getNow();
    return model.knownLive[engine] === true && !isHidden;
  }

  /**
   * Gets a daemon's view in the kernel's words.
   * @param daemon - The daemon.
   */
  getView(daemon: number): ViewMessage {
    const { knownDaemons, engineHiddenUntil } = this.getDaemon(daemon);
    const now = this.events.getNow();
    const engines = this.engines
      .map(({ name, zone, slots }, index) => ({
        name,
        zone,
        slots,
        weight: 1,
        models: ["model"],
        eligible: this.isEligible(daemon, index),
      }))
      .filter((_, index) => (engineHiddenUntil[index] ?? 0) <= now);
    const daemons = this.daemons
      .filter((_, index) => knownDaemons[index])
      .map(({ name, zone }) => ({ name, zone }));
    return { kind: "view", daemons, engines, bound: loadBound };
  }

  /**
   * Lets an engine leave gracefully and come back with an empty cache.
   * @param engine - The engine.
   * @param downMilliseconds - Time until it is back.
   */
  restartEngine(engine: number, downMilliseconds: number): void {
    this.setLive(engine, false);
    this.events.addEvent(this.events.getNow() + downMilliseconds, () => {
      this.getEngine(engine).clearCache();
      this.setLive(engine, true);
    });
  }

  /**
   * Lets an engine drop all its requests and come back with an empty cache.
   * @param engine - The engine.
   * @param downMilliseconds - Time until it is back.
   */
  crashEngine(engine: number, downMilliseconds: number): void {
    this.getEngine(engine).reset();
    this.restartEngine(engine, downMilliseconds);
    for (const listener of this.listeners) {
      listener.engineCrashed(engine);
    }
  }

  /**
   * Lets a daemon's list lack an engine for a time.
   * @param daemon - The daemon.
   * @param engine - The engine.
   * @param milliseconds - How long.
   */
  hideEngine(daemon: number, engine: number, milliseconds: number): void {
    const until = this.events.getNow() + milliseconds;
    this.getDaemon(daemon).engineHiddenUntil[engine] = until;
    this.tellView(daemon);
    this.events.addEvent(until, () => {
      this.tellView(daemon);
    });
  }

  /**
   * Lets a daemon's list lack another daemon for a time.
   * @param daemon - The daemon whose list it is.
   * @param hidden - The daemon that it lacks.
   * @param milliseconds - How long.
   */
  hideDaemon(daemon: number, hidden: number, milliseconds: number): void {
    if (daemon === hidden) {
      return;
    }
    this.setKnownDaemon(daemon, hidden, false);
    this.events.addEvent(this.events.getNow() + milliseconds, () => {
      this.setKnownDaemon(daemon, hidden, this.getDaemon(hidden).isLive);
    });
  }

  /**
   * Kills a daemon; the others learn of it with the view's delay.
   * @param daemon - The daemon.
   */
  loseDaemon(daemon: number): void {
    this.getDaemon(daemon).isLive = false;
    for (const listener of this.listeners) {
      listener.daemonLost(daemon);
    }
    this.daemons.forEach((_, other) => {
      this.events.addEvent(this.getViewInstant(), () => {
        this.setKnownDaemon(other, daemon, false);
      });
    });
  }

  /**
   * Lets a daemon learn at once that an engine refuses new work.
   * @param daemon - The daemon.
   * @param engine - The engine.
   */
  noticeRefusal(daemon: number, engine: number): void {
    this.setKnownLive(daemon, engine, false);
  }

  private setLive(engine: number, isLive: boolean): void {
    this.getEngine(engine).isLive = isLive;
    this.version += 1;
    this.daemons.forEach((_, daemon) => {
      this.events.addEvent(this.getViewInstant(), () => {
        this.setKnownLive(daemon, engine, this.getEngine(engine).isLive);
      });
    });
  }

  private setKnownLive(daemon: number, engine: number, isLive: boolean): void {
    const { knownLive } = this.getDaemon(daemon);
    if (knownLive[engine] !== isLive) {
      knownLive[engine] = isLive;
      this.tellView(daemon);
    }
  }

  private setKnownDaemon(daemon: number, other: number, isLive: boolean): void {
    this.getDaemon(daemon).knownDaemons[other] = isLive;
    this.tellView(daemon);
  }

  private tellView(daemon: number): void {
    for (const listener of this.listeners) {
      listener.viewChanged(daemon);
    }
  }

  private getViewInstant(): number {
    const delay = this.random.getUniform() * this.conditions.viewDelayMilliseconds;
    return this.events.getNow() + delay;
  }

  private getDaemon(index: number): DaemonModel {
    return this.daemons[index] as DaemonModel;
  }

  private getEngine(index: number): EngineModel {
    return this.engines[index] as EngineModel;
  }
}

function getZone(deployment: Deployment, index: number): string {
  return deployment.zones[index % deployment.zones.length] as string;
}
