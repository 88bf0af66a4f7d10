import type { Fleet } from "../Fleet.js";
import type { TrafficRequest } from "../TrafficRequest.js";
import type { Policy } from "./Policy.js";

/** Chooses an engine for a request, in the same instant. */
export type Choice = (request: TrafficRequest, eligible: readonly number[]) => number;

/** What may differ between baseline policies. */
export interface BaselineOptions {
  /** Whether the policy knows at once which engines are live. */
  readonly seesTruth?: boolean;
  /** Called when a request left its engine. */
  readonly release?: (request: TrafficRequest) => void;
  /** Octets that each daemon spends on load reports. */
  readonly controlBytesPerSecond?: number;
}

/** A policy without datagrams between the daemons. */
export class BaselinePolicy implements Policy {
  private constructor(
    readonly name: string,
    private readonly fleet: Fleet,
    private readonly choose: Choice,
    private readonly options: BaselineOptions,
  ) {}

  /**
   * Creates a policy.
   * @param name - Name of the policy.
   * @param fleet - Fleet to place on.
   * @param choose - Chooses among the eligible engines.
   * @param options - What differs from the plainest policy.
   */
  static create(
    name: string,
    fleet: Fleet,
    choose: Choice,
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

  takeControlBytes(): readonly number[] {
    const bytes = this.options.controlBytesPerSecond ?? 0;
    return this.fleet.daemons.map(() => bytes * this.fleet.deployment.measuredSeconds);
  }

  viewChanged(): void {
    // Reads the views when it places.
  }

  engineCrashed(): void {
    // Reads the views when it places.
  }

  daemonLost(): void {
    // Reads the views when it places.
  }

  private isEligible(request: TrafficRequest, engine: number): boolean {
    const isKnownLive =
      this.options.seesTruth === true
        ? this.fleet.engines[engine]?.isLive === true
        : this.fleet.isEligible(request.daemon, engine);
    return isKnownLive && !request.exclude.includes(engine);
  }
}
