import {
  applyFleetNotices,
  applyResponseHead,
  chooseUpstream,
  PrefixDirectory,
  toFleetNotice,
  UpstreamTable,
  type LimitShare,
  type ResponseHead,
  type Upstream,
} from "@pistachioway/kernel";
import { FleetTraffic } from "./FleetTraffic.js";
import { TrafficSimulation } from "./TrafficSimulation.js";

/** Options of a fleet before one upstream that names a limit and one that does not. */
export interface LimitOptions {
  readonly daemons: number;
  readonly zones: number;
  /** Requests a second, over all daemons. */
  readonly rate: number;
  /** Ratio of datagrams that are lost. */
  readonly loss: number;
  readonly getRandom: () => number;
}

/** Time after the first answer that names a limit from which a daemon's requests count. */
const toldMilliseconds = 500;
/** Time after its start in which a daemon sends nothing to upstreams at a limit. */
const settlingMilliseconds = 3_000;
const limitedId = "e-1";
const openId = "e-2";

/** Requests to the daemons of a simulated fleet, each of which would take the limited upstream first. */
export class LimitSimulation extends TrafficSimulation {
  /** Limit that the upstream names in its answers. */
  limitPerSecond: number | undefined;
  rate: number;
  /** When requests reached the limited upstream, and whether their daemon had been told of the limit before. */
  readonly arrivals: { readonly at: number; readonly isTold: boolean }[] = [];
  sentCount = 0;
  servedCount = 0;
  readonly traffic: FleetTraffic;
  private readonly tables: UpstreamTable[];
  private readonly startedAt: number[];
  /** When the upstream first named its limit to each daemon since the daemon's start. */
  private readonly toldAt = new Map<number, number>();

  private constructor(private readonly options: LimitOptions) {
    super();
    const { daemons, rate } = options;
    this.rate = rate;
    const send = (daemon: number): void => {
      this.send(daemon);
    };
    this.traffic = FleetTraffic.create({
      ...options,
      sources: [{ getRate: () => this.rate, send }],
    });
    this.tables = Array.from({ length: daemons }, () => this.createTable());
    this.startedAt = Array<number>(daemons).fill(0);
    this.fleet.onNotice = (daemon, notice) => {
      const upstreams = this.tables[daemon];
      const quarantine = this.fleet.members[daemon]?.quarantine;
      if (upstreams !== undefined && quarantine !== undefined) {
        const target = { upstreams, prefixes: PrefixDirectory.create(), quarantine };
        applyFleetNotices(target, [notice], this.fleet.now);
      }
    };
  }

  /**
   * Creates a fleet without requests.
   * @param options - Options of the fleet.
   */
  static create(options: LimitOptions): LimitSimulation {
    return new LimitSimulation(options);
  }

  /** Restarts a daemon, which forgets everything but the seeds. */
  restart(daemon: number): void {
    this.fleet.restart([daemon]);
    this.tables[daemon] = this.createTable();
    this.startedAt[daemon] = this.now;
    this.toldAt.delete(daemon);
  }

  /** Gets the largest number of arrivals from daemons that were told, within a window that begins after a time. */
  getMostInWindow(since: number, windowMilliseconds: number): number {
    const times = this.arrivals
      .filter(({ at, isTold }) => at >= since && isTold)
      .map(({ at }) => at);
    const counts = times.map(
      (at) => times.filter((each) => each >= at && each < at + windowMilliseconds).length,
    );
    return Math.max(0, ...counts);
  }

  private createTable(): UpstreamTable {
    const table = UpstreamTable.create();
    [limitedId, openId].forEach((id) => {
      table.addUpstream(createUpstream(id), 0);
    });
    return table;
  }

  private send(daemon: number): void {
    const table = this.tables[daemon];
    const member = this.fleet.members[daemon];
    if (table === undefined || member?.isRunning !== true) {
      return;
    }
    this.sentCount += 1;
    const limitShare = this.getLimitShare(daemon);
    const choice = chooseUpstream(table.getEntries(), {
      service: "records",
      zone: "north",
      softwareVersion: undefined,
      stickyKey: undefined,
      excluded: new Set(),
      maxRunning: 100,
      limitShare,
      isRepeatable: true,
      hasIdleConnection: () => false,
      now: this.now,
    });
    if (choice === undefined) {
      return;
    }
    this.servedCount += 1;
    const { entry } = choice;
    entry.limit.takeSlot(this.now, limitShare);
    if (entry.record.id === limitedId) {
      const toldAt = this.toldAt.get(daemon) ?? Infinity;
      this.arrivals.push({ at: this.now, isTold: this.now >= toldAt + toldMilliseconds });
      if (this.limitPerSecond !== undefined) {
        this.toldAt.set(daemon, Math.min(toldAt, this.now));
      }
      const notices = applyResponseHead(table, entry, this.createHead(), this.now);
      notices.forEach((notice) => {
        const told = toFleetNotice(table, notice);
        if (told !== undefined) {
          member.gossip.addNotice(told, this.now);
        }
      });
    }
  }

  private getLimitShare(daemon: number): LimitShare {
    const isSettled = this.now - (this.startedAt[daemon] ?? 0) >= settlingMilliseconds;
    const view = this.fleet.members[daemon]?.view;
    return {
      part: isSettled ? 1 / (view?.getPeakDaemonCount() ?? 1) : 0,
      position: view?.getPosition() ?? 0,
    };
  }

  private createHead(): ResponseHead {
    const perSecond = this.limitPerSecond;
    return {
      status: 200,
      requestId: "q-1",
      isMisdirected: false,
      meaning: "final",
      notRunStatements: [],
      load: undefined,
      isLeaving: false,
      requestedRest: undefined,
      statedLimit: perSecond === undefined ? undefined : { text: String(perSecond), perSecond },
      coldMilliseconds: undefined,
      isFramed: true,
      passedHeaders: [],
    };
  }
}

function createUpstream(id: string): Upstream {
  const record = { id, service: "records", address: "10.0.0.1:80", zone: "north" };
  return { ...record, softwareVersion: "v1", slots: 64, state: "ready", bornAt: 1, sequence: 1 };
}
