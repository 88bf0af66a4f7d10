import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";
import type { Fleet } from "../fleet/index.js";
import type { ConfigurationSample, LoadSample } from "./observations.js";

const loadPeriodMilliseconds = 200;
const statusPeriodMilliseconds = 100;

/** The fields of an engine's records that the demo reads. */
export interface EngineRecord {
  readonly counts: { readonly promptTokens: number; readonly cachedTokens: number };
  readonly load: { readonly running: number; readonly waiting: number };
  readonly requests: readonly { readonly at: number; readonly outcome: string }[];
}

/** Samples the loads of the engines and the configurations of the daemons periodically. */
export class Observer {
  readonly loads: LoadSample[] = [];
  readonly configurations: ConfigurationSample[] = [];
  private readonly excludedEngines = new Set<string>();
  private isStopped = false;
  private sampling: Promise<unknown> = Promise.resolve();

  private constructor(private readonly fleet: Fleet) {}

  /**
   * Creates an observer that has not been started.
   * @param fleet - Fleet to observe.
   */
  static create(fleet: Fleet): Observer {
    return new Observer(fleet);
  }

  /** Starts sampling. */
  start(): void {
    const { daemons } = this.fleet.layout;
    const samplers = daemons.map(({ name }) => this.sampleConfiguration(name));
    this.sampling = Promise.all([this.sampleLoads(), ...samplers]);
  }

  /** Stops sampling and resolves when the last samples have been added. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await this.sampling;
  }

  /**
   * Excludes an engine from the load samples from now on.
   * @param name - Name of the engine.
   */
  excludeEngine(name: string): void {
    this.excludedEngines.add(name);
  }

  /**
   * Gets the records of an engine.
   * @param name - Name of the engine.
   */
  async getEngineRecord(name: string): Promise<EngineRecord> {
    return (await this.fleet.callStandin(name, "GET", "records")) as EngineRecord;
  }

  private async sampleLoads(): Promise<void> {
    while (!this.isStopped) {
      const engines = this.fleet.layout.engines.filter(
        ({ name }) => !this.excludedEngines.has(name),
      );
      const at = Date.now();
      const records = await Promise.all(engines.map(({ name }) => this.getEngineRecord(name)));
      const loads = records.map(({ load }) => load.running + load.waiting);
      this.loads.push({ at, spanMilliseconds: Date.now() - at, loads });
      await delay(loadPeriodMilliseconds);
    }
  }

  private async sampleConfiguration(daemon: string): Promise<void> {
    while (!this.isStopped) {
      const status = await this.fleet.getStatus(daemon).catch(() => undefined);
      if (status?.configuration !== undefined) {
        const { revision } = status.configuration;
        const refusedRevision = status.refused?.revision;
        this.configurations.push({ daemon, at: Date.now(), revision, refusedRevision });
      }
      await delay(statusPeriodMilliseconds);
    }
  }
}

const controlBytesPattern = /^pistachioway_control_bytes_total\{[^}]*\} (\S+)$/gm;

/**
 * Gets the bytes of control traffic of a daemon, sent and received, over all channels.
 * @param operations - Address of the operations listener of the daemon.
 */
export async function getControlBytes(operations: string): Promise<number> {
  const answer = await request(`http://${operations}/metrics`);
  const text = await answer.body.text();
  return [...text.matchAll(controlBytesPattern)].reduce((sum, match) => sum + Number(match[1]), 0);
}
