import type { SimulatedFleet, FleetListener } from "../SimulatedFleet.js";
import type { TrafficRequest } from "../TrafficRequest.js";

/** A placement policy that the benchmark can measure. */
export interface Policy extends FleetListener {
  readonly name: string;
  /**
   * Places a request and calls back with the engine, synchronously or later.
   * @param request - Request to place.
   * @param decide - Called with the engine's index.
   */
  place(request: TrafficRequest, decide: (engine: number) => void): void;
  /**
   * Releases the placement of a request.
   * @param request - Request that no longer runs.
   */
  finish(request: TrafficRequest): void;
  /** Gets the control bytes that each daemon has sent since the last call, and resets the counts. */
  drainControlBytes(): readonly number[];
}

/** Creates a policy for a fleet. */
export type PolicyFactory = (fleet: SimulatedFleet) => Policy;
