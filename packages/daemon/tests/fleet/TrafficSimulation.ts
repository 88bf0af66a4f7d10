import type { FleetTraffic } from "./FleetTraffic.js";
import type { GossipSimulation } from "./GossipSimulation.js";

/** A simulated fleet under traffic; what the requests meet is up to the simulation that extends it. */
export abstract class TrafficSimulation {
  abstract readonly traffic: FleetTraffic;

  get fleet(): GossipSimulation {
    return this.traffic.fleet;
  }

  get now(): number {
    return this.fleet.now;
  }

  /** Lets time pass with requests. */
  run(milliseconds: number): void {
    this.traffic.run(milliseconds);
  }
}
