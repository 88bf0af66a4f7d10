import { GossipSimulation } from "./GossipSimulation.js";

/** Requests of one kind that arrive at random daemons. */
export interface TrafficSource {
  /** Gets the requests a second, over all daemons. */
  readonly getRate: () => number;
  /** Sends one request, to the daemon with an index. */
  readonly send: (daemon: number) => void;
}

/** Options of the traffic. */
export interface FleetTrafficOptions {
  readonly daemons: number;
  readonly zones: number;
  /** Ratio of datagrams that are lost. */
  readonly loss: number;
  readonly getRandom: () => number;
  readonly sources: readonly TrafficSource[];
  /** Called in each step before its requests arrive. */
  readonly onStep?: () => void;
}

const stepMilliseconds = 10;
const millisecondsPerSecond = 1_000;

/** Requests to the daemons of a simulated fleet, in simulated time. */
export class FleetTraffic {
  readonly fleet: GossipSimulation;

  private constructor(private readonly options: FleetTrafficOptions) {
    const { daemons, zones, loss, getRandom } = options;
    this.fleet = GossipSimulation.create({ daemons, zones, running: 0, loss, getRandom });
  }

  /**
   * Creates a fleet without requests.
   * @param options - Options of the traffic.
   */
  static create(options: FleetTrafficOptions): FleetTraffic {
    return new FleetTraffic(options);
  }

  get now(): number {
    return this.fleet.now;
  }

  /** Lets time pass with requests. */
  run(milliseconds: number): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.fleet.run(stepMilliseconds);
      this.options.onStep?.();
      this.options.sources.forEach((source) => {
        this.sendRequests(source);
      });
    }
  }

  /** Picks the index of a daemon; it may not be running. */
  pickDaemon(): number {
    return Math.floor(this.options.getRandom() * this.options.daemons);
  }

  private sendRequests({ getRate, send }: TrafficSource): void {
    const expected = (getRate() * stepMilliseconds) / millisecondsPerSecond;
    const count = Math.floor(expected + this.options.getRandom());
    for (let index = 0; index < count; index += 1) {
      send(this.pickDaemon());
    }
  }
}
