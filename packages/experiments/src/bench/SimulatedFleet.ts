import type { ViewMessage } from "@pistachioway/kernel";
import type { NetworkConditions } from "./conditions.js";
import type { Deployment } from "./deployment.js";
import { EngineModel } from "./EngineModel.js";
import { EventQueue } from "./EventQueue.js";
import { Random } from "./Random.js";

/** Model of a daemon, with its own view of the engines and the other daemons. */
export interface DaemonModel {
  readonly name: string;
  readonly zone: string;
  isLive: boolean;
  /** For each engine, whether it accepts new requests as known to this daemon. */
  readonly engineLiveness: boolean[];
  /** For each engine, the time until which it is missing from this daemon's list. */
  readonly engineHiddenUntil: number[];
  /** For each daemon, whether it is live as known to this daemon. */
  readonly daemonLiveness: boolean[];
}

/** Receives the changes of the fleet. */
export interface FleetListener {
  viewChanged(daemon: number): void;
  engineCrashed(engine: number): void;
  daemonLost(daemon: number): void;
}

/** The load bound of every run, as a multiple of the mean load. */
export const loadBound = 1.25;

const slotsPerEngine = 96;
const maxCachedTokensPerEngine = 200_000;
const warmUpSeconds = 40;

/** The engines and daemons of one simulated run, and the faults that are injected into them. */
export class SimulatedFleet {
  readonly events = EventQueue.create();
  readonly random: Random;
  readonly engines: readonly EngineModel[];
  readonly daemons: readonly DaemonModel[];
  readonly measurementStartsAt = warmUpSeconds * 1000;
  readonly measurementEndsAt: number;
  /** The time span of the surge, if the scenario has one. */
  surge: { readonly from: number; readonly until: number } | undefined;
  /** Incremented on each change of an engine's load or of the set of live engines. */
  version = 0;
  private readonly listeners: FleetListener[] = [];

  private constructor(
    readonly deployment: Deployment,
    readonly conditions: NetworkConditions,
    readonly seed: number,
  ) {
    this.random = Random.create(seed, 1);
    this.measurementEndsAt = this.measurementStartsAt + deployment.measuredSeconds * 1000;
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
      engineLiveness: this.engines.map(() => true),
      engineHiddenUntil: this.engines.map(() => 0),
      daemonLiveness: Array.from({ length: deployment.daemonCount }, () => true),
    }));
  }

  /**
   * Creates a fleet in which all engines and daemons are live.
   * @param deployment - Size of the fleet and delay between its zones.
   * @param conditions - Delays and packet loss.
   * @param seed - Seed of the run.
   */
  static create(
    deployment: Deployment,
    conditions: NetworkConditions,
    seed: number,
  ): SimulatedFleet {
    return new SimulatedFleet(deployment, conditions, seed);
  }

  /**
   * Adds a listener.
   * @param listener - Called on every change.
   */
  addListener(listener: FleetListener): void {
    this.listeners.push(listener);
  }

  /**
   * Gets the one-way delay between two daemons in milliseconds, without any extra delay.
   * @param from - Index of the sending daemon.
   * @param to - Index of the receiving daemon.
   */
  getDelay(from: number, to: number): number {
    const isSameZone = this.daemons[from]?.zone === this.daemons[to]?.zone;
    return isSameZone ? 0.1 : this.deployment.zoneDelayMilliseconds;
  }

  /**
   * Checks whether an engine accepts new requests, as known to a daemon.
   * @param daemon - Index of the daemon.
   * @param engine - Index of the engine.
   */
  isEligible(daemon: number, engine: number): boolean {
    const model = this.getDaemon(daemon);
    const isHidden = (model.engineHiddenUntil[engine] ?? 0) > this.events.getNow();
    return model.engineLiveness[engine] === true && !isHidden;
  }

  /**
   * Gets a daemon's view as a message to its kernel.
   * @param daemon - Index of the daemon.
   */
  getView(daemon: number): ViewMessage {
    const { daemonLiveness, engineHiddenUntil } = this.getDaemon(daemon);
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
      .filter((_, index) => daemonLiveness[index])
      .map(({ name, zone }) => ({ name, zone }));
    return { kind: "view", daemons, engines, bound: loadBound };
  }

  /**
   * Makes an engine leave gracefully and come back with an empty cache.
   * @param engine - Index of the engine.
   * @param downMilliseconds - Time until it accepts requests again.
   */
  restartEngine(engine: number, downMilliseconds: number): void {
    this.setEngineLive(engine, false);
    this.events.addEvent(this.events.getNow() + downMilliseconds, () => {
      this.getEngine(engine).clearCache();
      this.setEngineLive(engine, true);
    });
  }

  /**
   * Makes an engine drop all its requests and come back with an empty cache.
   * @param engine - Index of the engine.
   * @param downMilliseconds - Time until it accepts requests again.
   */
  crashEngine(engine: number, downMilliseconds: number): void {
    this.getEngine(engine).reset();
    this.restartEngine(engine, downMilliseconds);
    for (const listener of this.listeners) {
      listener.engineCrashed(engine);
    }
  }

  /**
   * Removes an engine from a daemon's list for a limited time.
   * @param daemon - Index of the daemon.
   * @param engine - Index of the engine.
   * @param milliseconds - Duration.
   */
  hideEngine(daemon: number, engine: number, milliseconds: number): void {
    const until = this.events.getNow() + milliseconds;
    this.getDaemon(daemon).engineHiddenUntil[engine] = until;
    this.notifyViewChanged(daemon);
    this.events.addEvent(until, () => {
      this.notifyViewChanged(daemon);
    });
  }

  /**
   * Removes another daemon from a daemon's list for a limited time.
   * @param daemon - Index of the daemon that owns the list.
   * @param hidden - Index of the daemon to remove.
   * @param milliseconds - Duration.
   */
  hideDaemon(daemon: number, hidden: number, milliseconds: number): void {
    if (daemon === hidden) {
      return;
    }
    this.setDaemonLivenessInView(daemon, hidden, false);
    this.events.addEvent(this.events.getNow() + milliseconds, () => {
      this.setDaemonLivenessInView(daemon, hidden, this.getDaemon(hidden).isLive);
    });
  }

  /**
   * Kills a daemon; each other daemon learns of it after a random view delay.
   * @param daemon - Index of the daemon.
   */
  killDaemon(daemon: number): void {
    this.getDaemon(daemon).isLive = false;
    for (const listener of this.listeners) {
      listener.daemonLost(daemon);
    }
    this.daemons.forEach((_, other) => {
      this.events.addEvent(this.pickViewUpdateTime(), () => {
        this.setDaemonLivenessInView(other, daemon, false);
      });
    });
  }

  /**
   * Marks an engine as not accepting requests in one daemon's view, without the view delay.
   * @param daemon - Index of the daemon.
   * @param engine - Index of the engine.
   */
  recordRefusal(daemon: number, engine: number): void {
    this.setEngineLivenessInView(daemon, engine, false);
  }

  private setEngineLive(engine: number, isLive: boolean): void {
    this.getEngine(engine).isLive = isLive;
    this.version += 1;
    this.daemons.forEach((_, daemon) => {
      this.events.addEvent(this.pickViewUpdateTime(), () => {
        this.setEngineLivenessInView(daemon, engine, this.getEngine(engine).isLive);
      });
    });
  }

  private setEngineLivenessInView(daemon: number, engine: number, isLive: boolean): void {
    const { engineLiveness } = this.getDaemon(daemon);
    if (engineLiveness[engine] !== isLive) {
      engineLiveness[engine] = isLive;
      this.notifyViewChanged(daemon);
    }
  }

  private setDaemonLivenessInView(daemon: number, other: number, isLive: boolean): void {
    this.getDaemon(daemon).daemonLiveness[other] = isLive;
    this.notifyViewChanged(daemon);
  }

  private notifyViewChanged(daemon: number): void {
    for (const listener of this.listeners) {
      listener.viewChanged(daemon);
    }
  }

  private pickViewUpdateTime(): number {
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
