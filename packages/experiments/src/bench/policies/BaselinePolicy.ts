import type { SimulatedFleet } from "../SimulatedFleet.js";
import type { TrafficRequest } from "../TrafficRequest.js";
import type { Policy } from "./Policy.js";

/** Chooses an engine for a request synchronously. */
export type EngineChooser = (request: TrafficRequest, eligible: readonly number[]) => number;

/** Options of a baseline policy. */
export interface BaselineOptions {
  /** Whether the policy knows without delay which engines are live. */
  readonly knowsExactState?: boolean;
  /** Called when a request has left its engine. */
  readonly release?: (request: TrafficRequest) => void;
  /** Bytes per second that load reports cost each daemon. */
  readonly controlBytesPerSecond?: number;
}

/** A policy whose daemons exchange no datagrams. */
export class BaselinePolicy implements Policy {
  private constructor(
    readonly name: string,
    private readonly fleet: SimulatedFleet,
    private readonly choose: EngineChooser,
    private readonly options: BaselineOptions,
  ) {}

  /**
   * Creates a policy.
   * @param name - Name of the policy.
   * @param fleet - Fleet to place on.
   * @param choose - Chooses among the eligible engines.
   * @param options - Options of the policy.
   */
  static create(
    name: string,
    fleet: SimulatedFleet,
    choose: EngineChooser,
    options: BaselineOptions = {},
  ): BaselinePolicy {
    return new BaselinePolicy(name, fleet, choose, options);
  }

  place(request: TrafficRequest, decide: (engine: number) => void): void {
    const all = [...this.fleet.engines.keys()];
    const live = all.filter((engine) => this.isEligible(request, engine));
    decide(this.choose(request, live.length > 0 ? live : all));
  }

  finish(request: TrafficRequest): void {
    this.options.release?.(request);
  }

  drainControlBytes(): readonly number[] {
    const bytes = this.options.controlBytesPerSecond ?? 0;
    return this.fleet.daemons.map(() => bytes * this.fleet.deployment.measuredSeconds);
  }

  viewChanged(): void {
    // No state to update: place() reads the daemon's view.
  }

  engineCrashed(): void {
    // No state to update: place() reads the daemon's view.
  }

  daemonLost(): void {
    // No state to update: place() reads the daemon's view.
  }

  private isEligible(request: TrafficRequest, engine: number): boolean {
    const isKnownLive =
      this.options.knowsExactState === true
        ? this.fleet.engines[engine]?.isLive === true
        : this.fleet.isEligible(request.daemon, engine);
    return isKnownLive && !request.exclude.includes(engine);
  }
}
