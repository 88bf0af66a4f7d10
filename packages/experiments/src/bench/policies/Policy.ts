import type { SimulatedFleet, FleetListener } from "../SimulatedFleet.js";
import type { TrafficRequest } from "../TrafficRequest.js";

/** A way to place requests, as the bench drives it. */
export interface Policy extends FleetListener {
  readonly name: string;
  /**
   * Places a request and calls back with the engine, at once or later.
   * @param request - Request to place.
   * @param decide - Called with the engine's index.
   */
  place(request: TrafficRequest, decide: (engine: number) => void): void;
  /**
   * Takes a request off its engine.
   * @param request - Request that no longer runs.
   */
  finish(request: TrafficRequest): void;
  /** Gets the octets that each daemon sent since the last call. */
  drainControlBytes(): readonly number[];
}

/** Creates a policy for a fleet. */
export type PolicyFactory = (fleet: SimulatedFleet) => Policy;
