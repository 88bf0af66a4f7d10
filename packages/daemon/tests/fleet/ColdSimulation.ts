import { getStartShare } from "@pistachioway/daemon";
import {
  chooseUpstream,
  UpstreamReach,
  UpstreamTable,
  type StartShare,
  type Upstream,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { FleetTraffic } from "./FleetTraffic.js";
import { TrafficSimulation } from "./TrafficSimulation.js";

/** Options of a fleet before upstreams of one service that start cold. */
export interface ColdOptions {
  readonly daemons: number;
  readonly zones: number;
  readonly upstreams: number;
  /** Requests a second, over all daemons. */
  readonly rate: number;
  readonly getRandom: () => number;
}

/** An upstream as it is, whatever the daemons know. */
interface ActualUpstream {
  readonly id: string;
  readonly zone: string;
  bornAt: number;
  sequence: number;
  isUp: boolean;
  coldEndsAt: number;
  /** When it last wrote its entry in the registry; the entry lapses some time after. */
  writtenAt: number;
  entry: Upstream;
  readonly writePhase: number;
}

interface SimulatedDaemon {
  table: UpstreamTable;
  reach: UpstreamReach;
  startedAt: number;
  readonly readPhase: number;
  readonly clockError: number;
  isRegistryCut: boolean;
}

/** How cold upstreams of the simulated service start. */
export const coldStart = { milliseconds: 3_000, requestsPerSecond: 14 };
export const coldBounds = { excess: 1.5, slack: 5 };
/** Requests that may arrive in any second at one cold upstream. */
export const mostInSecond = 26;

const requestMilliseconds = 400;
/** Time after which a request to a silent upstream ends. */
const silentMilliseconds = 1_000;
/** Time after its last request for which a connection stays open. */
const idleMilliseconds = 1_000;
const writeMilliseconds = 1_200;
const readMilliseconds = 700;
const checkMilliseconds = 100;
const entryLifetimeMilliseconds = 3_500;
const maxClockErrorMilliseconds = 200;
const windowMilliseconds = 1_000;

/** Requests to the daemons of a simulated fleet, while upstreams stop and start. */
export class ColdSimulation extends TrafficSimulation {
  rate: number;
  sentCount = 0;
  refusedCount = 0;
  /** Whether the daemons are spread over the zones; else all are in the first one, and prefer its upstreams. */
  isZoneSpread = false;
  /** Whether connections to upstreams that are down hang, rather than being refused. */
  isSilent = false;
  /** When requests reached upstreams that were cold, by id. */
  readonly arrivals = new Map<string, number[]>();
  /** Changes what a daemon may use, to have positions that are not agreed on. */
  changeShare: (daemon: number, share: StartShare) => StartShare = (_, share) => share;
  readonly traffic: FleetTraffic;
  readonly upstreams: readonly ActualUpstream[];
  readonly daemons: readonly SimulatedDaemon[];
  private ends: readonly { readonly at: number; readonly entry: UpstreamEntry }[] = [];

  private constructor(private readonly options: ColdOptions) {
    super();
    this.rate = options.rate;
    const send = (daemon: number): void => {
      this.send(daemon);
    };
    this.traffic = FleetTraffic.create({
      ...options,
      loss: 0.05,
      sources: [{ getRate: () => this.rate, send }],
      onStep: () => {
        this.step();
      },
    });
    this.fleet.isEncoded = false;
    this.upstreams = Array.from({ length: options.upstreams }, (_, index) =>
      this.createUpstream(index),
    );
    this.daemons = Array.from({ length: options.daemons }, () => this.createDaemon());
  }

  /**
   * Creates a fleet without requests whose upstreams are all warm.
   * @param options - Options of the fleet.
   */
  static create(options: ColdOptions): ColdSimulation {
    return new ColdSimulation(options);
  }

  /** Stops the upstreams of a zone; connections to them are refused, and open ones end. */
  stopZone(zone: string): void {
    this.upstreams
      .filter((upstream) => upstream.zone === zone)
      .forEach((upstream) => {
        upstream.isUp = false;
        this.endConnections(upstream.id);
      });
  }

  /** Starts the upstreams of a zone; they are cold. */
  startZone(zone: string): void {
    const started = this.upstreams.filter((upstream) => upstream.zone === zone);
    started.forEach((upstream) => {
      upstream.isUp = true;
      upstream.bornAt += 1;
      upstream.coldEndsAt = this.now + coldStart.milliseconds;
      this.write(upstream);
    });
  }

  /** Restarts a daemon, which forgets everything but the seeds and reads the registry at once. */
  restart(daemon: number): void {
    this.fleet.restart([daemon]);
    const state = this.daemons[daemon];
    if (state !== undefined) {
      Object.assign(state, { ...this.createDaemon(), isRegistryCut: state.isRegistryCut });
    }
  }

  /** Sends one request to each daemon at the same moment, several times. */
  sendToAll(times: number): void {
    this.daemons.forEach((_, daemon) => {
      for (let count = 0; count < times; count += 1) {
        this.send(daemon);
      }
    });
  }

  /** Gets the largest number of requests that reached one cold upstream in a second. */
  getMostInSecond(): number {
    const counts = [...this.arrivals.values()].flatMap((times) =>
      times.map(
        (at) => times.filter((each) => each >= at && each < at + windowMilliseconds).length,
      ),
    );
    return Math.max(0, ...counts);
  }

  /** Gets the requests that reached cold upstreams. */
  getColdCount(): number {
    return [...this.arrivals.values()].flat().length;
  }

  private createUpstream(index: number): ActualUpstream {
    const id = `e-${String(index)}`;
    const zone = `north-${String(index % this.options.zones)}`;
    const entry = createRecord(id, zone);
    const writePhase = this.pickPhase(writeMilliseconds);
    const state = { bornAt: 1, sequence: 1, isUp: true, coldEndsAt: 0, writtenAt: 0 };
    return { id, zone, entry, writePhase, ...state };
  }

  private createDaemon(): SimulatedDaemon {
    const table = UpstreamTable.create();
    const { getRandom } = this.options;
    const daemon = {
      table,
      reach: UpstreamReach.create(table),
      startedAt: this.now,
      readPhase: this.pickPhase(readMilliseconds),
      clockError: (getRandom() - 0.5) * maxClockErrorMilliseconds,
      isRegistryCut: false,
    };
    this.read(daemon);
    return daemon;
  }

  private pickPhase(milliseconds: number): number {
    return Math.floor((this.options.getRandom() * milliseconds) / 10) * 10;
  }

  private step(): void {
    const { now } = this;
    this.ends
      .filter(({ at }) => at <= now)
      .forEach(({ entry }) => {
        entry.finishRequest(false);
      });
    this.ends = this.ends.filter(({ at }) => at > now);
    this.upstreams
      .filter(({ isUp, writePhase }) => isUp && now % writeMilliseconds === writePhase)
      .forEach((upstream) => {
        this.write(upstream);
      });
    this.daemons
      .filter(
        ({ isRegistryCut, readPhase }) => !isRegistryCut && now % readMilliseconds === readPhase,
      )
      .forEach((daemon) => {
        this.read(daemon);
      });
    if (now % checkMilliseconds === 0) {
      this.daemons.forEach((daemon) => {
        this.probe(daemon);
      });
      this.fleet.members.forEach(({ view }) => {
        view.updateLiveDaemons(now);
      });
    }
  }

  /** A connection is kept for a while after its last request; its end makes the daemon probe the upstream. */
  private endConnections(id: string): void {
    for (const { table } of this.daemons) {
      const entry = table.getEntry(id);
      if (
        entry !== undefined &&
        !this.isSilent &&
        this.now - entry.path.getReceivedAt() < idleMilliseconds
      ) {
        entry.path.requestProbe();
      }
    }
  }

  private write(upstream: ActualUpstream): void {
    upstream.sequence += 1;
    upstream.writtenAt = this.now;
    const { bornAt, sequence, coldEndsAt } = upstream;
    const left = coldEndsAt - this.now;
    upstream.entry = {
      ...createRecord(upstream.id, upstream.zone),
      bornAt,
      sequence,
      ...(left > 0 && { coldMilliseconds: left }),
    };
  }

  private read({ table }: SimulatedDaemon): void {
    this.upstreams.forEach(({ id, entry, writtenAt }) => {
      if (this.now - writtenAt < entryLifetimeMilliseconds) {
        table.addUpstream(entry, this.now);
      } else {
        table.removeUpstream(id, this.now);
      }
    });
  }

  private probe({ reach }: SimulatedDaemon): void {
    reach.check(this.now);
    reach.takeProbes(this.now).forEach((entry) => {
      if (this.isUp(entry)) {
        reach.recordConnected(entry, this.now);
      } else {
        reach.recordProbeFailure(entry, this.now);
      }
    });
  }

  private isUp({ record }: UpstreamEntry): boolean {
    return this.upstreams.find(({ id }) => id === record.id)?.isUp === true;
  }

  private getShare(index: number, { startedAt, clockError }: SimulatedDaemon): StartShare {
    const view = this.fleet.members[index]?.view;
    if (view === undefined) {
      throw new Error(`daemon ${String(index)} is not in the fleet`);
    }
    const clocks = { monotonic: this.now, wall: this.now + clockError };
    const share = getStartShare({ view, startedAt, bounds: coldBounds }, coldStart, clocks);
    if (share === undefined) {
      throw new Error("the service has a cold start");
    }
    return this.changeShare(index, share);
  }

  private send(index: number): void {
    const daemon = this.daemons[index];
    if (daemon === undefined) {
      return;
    }
    this.sentCount += 1;
    const { now } = this;
    const choice = chooseUpstream(daemon.table.getEntries(), {
      service: "engine",
      zone: this.isZoneSpread ? (this.fleet.members[index]?.zone ?? "") : "north-0",
      softwareVersion: undefined,
      stickyKey: undefined,
      excluded: new Set(),
      maxRunning: 100,
      limitShare: { part: 1, position: 0 },
      startShare: this.getShare(index, daemon),
      isRepeatable: true,
      hasIdleConnection: () => false,
      now,
    });
    if (choice === undefined || choice.path === "closed") {
      this.refusedCount += 1;
      return;
    }
    this.deliver(daemon, choice.entry);
  }

  private deliver({ reach }: SimulatedDaemon, entry: UpstreamEntry): void {
    const { now } = this;
    const { id } = entry.record;
    entry.startRequest(now);
    entry.start.takeSlot(now);
    const isUp = this.isUp(entry);
    const lasts = isUp || !this.isSilent ? requestMilliseconds : silentMilliseconds;
    this.ends = [...this.ends, { at: now + lasts, entry }];
    if (!isUp) {
      if (!this.isSilent) {
        reach.recordConnectFailure(entry, now);
      }
      return;
    }
    entry.recordReceivedBytes(now);
    const coldEndsAt = this.upstreams.find((upstream) => upstream.id === id)?.coldEndsAt ?? 0;
    if (now < coldEndsAt) {
      this.arrivals.set(id, [...(this.arrivals.get(id) ?? []), now]);
    }
  }
}

function createRecord(id: string, zone: string): Upstream {
  const record = { id, service: "engine", address: "10.0.0.1:80", zone, softwareVersion: "v1" };
  return { ...record, slots: 16, state: "ready", bornAt: 1, sequence: 1 };
}
