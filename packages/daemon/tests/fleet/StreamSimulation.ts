import { StreamDirectory, type StreamMessage } from "@pistachioway/daemon";
import type { Upstream } from "@pistachioway/kernel";
import { FleetTraffic } from "./FleetTraffic.js";
import { TrafficSimulation } from "./TrafficSimulation.js";

/** Options of a fleet before a service whose engines have several software versions. */
export interface StreamOptions {
  readonly daemons: number;
  readonly zones: number;
  /** Streams that begin in a second, over all daemons. */
  readonly rate: number;
  /** Ratio of streams whose connection to the daemon breaks by itself. */
  readonly breakRatio: number;
  /** Ratio of datagrams that are lost. */
  readonly loss: number;
  readonly getRandom: () => number;
}

interface RunningStream {
  readonly id: string;
  readonly version: string;
  daemon: number;
  endsAt: number;
  /** When its connection breaks; Infinity when it does not. */
  readonly breaksAt: number;
}

/** What one daemon knows of the registry. */
interface KnownList {
  upstreams: readonly Upstream[];
  readAt: number;
}

interface Delivery {
  readonly at: number;
  readonly run: () => void;
}

/** How a stream that was taken up went on. */
export interface TakeUp {
  readonly at: number;
  readonly daemon: number;
  readonly outcome: "sameVersion" | "otherVersion" | "refused";
}

const service = "engines";
const latencyMilliseconds = 4;
const longestStreamMilliseconds = 9_000;
const takeUpDelayMilliseconds = 200;
const listIntervalMilliseconds = 700;
const housekeepingMilliseconds = 200;

/**
 * Streams that begin at the daemons of a simulated fleet, and are taken up at another daemon when their
 * connection breaks or their daemon is killed. Each daemon reads the registry by itself, unless it is cut off.
 */
export class StreamSimulation extends TrafficSimulation {
  readonly traffic: FleetTraffic;
  readonly takeUps: TakeUp[] = [];
  begunCount = 0;
  /** Datagrams that tell of streams which begin, and those that ask and answer when one is taken up. */
  keepCount = 0;
  askCount = 0;
  /** Whether daemons look up the version of a stream; otherwise they take any that they know. */
  isGuarded = true;
  /** Checks whether a zone cannot read the registry. */
  isCutFromRegistry: (zone: string) => boolean = () => false;
  private upstreams: readonly Upstream[] = [];
  private readonly directories: StreamDirectory[];
  private readonly lists: KnownList[];
  private running: RunningStream[] = [];
  private deliveries: Delivery[] = [];
  private nextId = 1;

  private constructor(private readonly options: StreamOptions) {
    super();
    const { daemons, rate } = options;
    this.traffic = FleetTraffic.create({
      ...options,
      onStep: () => {
        this.runStep();
      },
      sources: [
        {
          getRate: () => rate,
          send: (daemon) => {
            this.begin(daemon);
          },
        },
      ],
    });
    this.directories = Array.from({ length: daemons }, (_, index) => this.createDirectory(index));
    this.lists = Array.from({ length: daemons }, () => ({ upstreams: [], readAt: -Infinity }));
  }

  /**
   * Creates a fleet without streams.
   * @param options - Options of the fleet.
   */
  static create(options: StreamOptions): StreamSimulation {
    return new StreamSimulation(options);
  }

  /** Sets the engines that serve, by software version; those of a version that stays keep running. */
  setVersions(versions: readonly string[]): void {
    this.upstreams = versions.map((softwareVersion) => {
      const known = this.upstreams.find((each) => each.softwareVersion === softwareVersion);
      return known ?? this.createUpstream(softwareVersion);
    });
  }

  /** Kills a daemon with its streams; it starts again at once and remembers nothing. */
  restart(daemon: number): void {
    this.fleet.restart([daemon]);
    this.directories[daemon] = this.createDirectory(daemon);
    this.lists[daemon] = { upstreams: [], readAt: -Infinity };
    this.running
      .filter((stream) => stream.daemon === daemon)
      .forEach((stream) => {
        this.breakOff(stream);
      });
  }

  /** Gets the share of the streams taken up since a time that went on. */
  getResumedShare(since: number, isCounted: (takeUp: TakeUp) => boolean = () => true): number {
    const counted = this.takeUps.filter((each) => each.at >= since && isCounted(each));
    return counted.filter(({ outcome }) => outcome === "sameVersion").length / counted.length;
  }

  /** Counts the streams that went on at another version. */
  countMixed(): number {
    return this.takeUps.filter(({ outcome }) => outcome === "otherVersion").length;
  }

  private createUpstream(softwareVersion: string): Upstream {
    const identity = { id: `i-${softwareVersion}`, service, address: "10.0.0.1:80", zone: "north" };
    const state = { slots: 64, state: "ready" as const, bornAt: this.now, sequence: 1 };
    return { ...identity, ...state, softwareVersion };
  }

  private createDirectory(daemon: number): StreamDirectory {
    return StreamDirectory.create({
      address: this.getAddress(daemon),
      isFirstStart: this.now === 0,
      getPeers: () => this.fleet.members[daemon]?.view.getLiveStates(this.now) ?? [],
      isAtRisk: () => this.isCutFromRegistry(this.fleet.members[daemon]?.zone ?? ""),
      send: (target, message) => {
        this.sendMessage(daemon, target, message);
      },
      schedule: (milliseconds, run) => {
        const delivery = { at: this.now + milliseconds, run };
        this.deliveries.push(delivery);
        return () => {
          this.deliveries = this.deliveries.filter((each) => each !== delivery);
        };
      },
      getNow: () => this.now,
    });
  }

  private getAddress(daemon: number): string {
    return this.fleet.members[daemon]?.address ?? "";
  }

  private sendMessage(from: number, target: string, message: StreamMessage): void {
    this.keepCount += message.kind === "keep" ? 1 : 0;
    this.askCount += message.kind === "keep" ? 0 : 1;
    const to = this.fleet.members.findIndex(({ address }) => address === target);
    const [fromZone = "", toZone = ""] = [from, to].map((each) => this.fleet.members[each]?.zone);
    const isLost = this.options.getRandom() < this.options.loss;
    if (to < 0 || isLost || this.fleet.isCut(fromZone, toZone)) {
      return;
    }
    const run = (): void => {
      this.directories[to]?.receive(message, this.getAddress(from));
    };
    this.deliveries.push({ at: this.now + latencyMilliseconds, run });
  }

  private begin(daemon: number): void {
    const { getRandom, breakRatio } = this.options;
    const versions = this.getKnownVersions(daemon);
    const version = versions[Math.floor(getRandom() * versions.length)];
    if (version === undefined) {
      return;
    }
    const id = `q-${String(this.nextId)}`;
    this.nextId += 1;
    this.begunCount += 1;
    this.directories[daemon]?.addStream(id, service, version);
    const milliseconds = getRandom() * longestStreamMilliseconds;
    const breaksAt = getRandom() < breakRatio ? this.now + milliseconds / 2 : Infinity;
    this.running.push({ id, version, daemon, endsAt: this.now + milliseconds, breaksAt });
  }

  private runStep(): void {
    const due = this.deliveries.filter(({ at }) => at <= this.now);
    this.deliveries = this.deliveries.filter(({ at }) => at > this.now);
    due.forEach(({ run }) => {
      run();
    });
    this.readLists();
    this.running
      .filter(({ breaksAt, endsAt }) => breaksAt <= this.now && endsAt > this.now)
      .forEach((stream) => {
        this.breakOff(stream);
      });
    this.running
      .filter(({ endsAt }) => endsAt <= this.now)
      .forEach(({ id, daemon }) => {
        this.directories[daemon]?.removeStream(id);
      });
    this.running = this.running.filter(({ endsAt }) => endsAt > this.now);
  }

  private readLists(): void {
    this.lists.forEach((list, daemon) => {
      const zone = this.fleet.members[daemon]?.zone ?? "";
      const isDue = this.now >= list.readAt + listIntervalMilliseconds;
      if (isDue && !this.isCutFromRegistry(zone)) {
        Object.assign(list, { upstreams: this.upstreams, readAt: this.now });
      }
      if (this.now % housekeepingMilliseconds === 0) {
        const ageMilliseconds = this.now - list.readAt;
        const { upstreams } = list;
        this.directories[daemon]?.recordList({ upstreams, ageMilliseconds, readCount: 1 });
      }
    });
  }

  private getKnownVersions(daemon: number): readonly string[] {
    return this.lists[daemon]?.upstreams.map(({ softwareVersion }) => softwareVersion) ?? [];
  }

  /** Ends a stream at its daemon; its caller takes it up at any daemon a little later. */
  private breakOff(stream: RunningStream): void {
    this.running = this.running.filter((each) => each !== stream);
    const run = (): void => {
      const daemon = this.traffic.pickDaemon();
      const listener = (version: string | undefined): void => {
        this.finishTakeUp(stream, daemon, version);
      };
      if (this.isGuarded) {
        this.directories[daemon]?.findVersion(stream.id, service, listener);
      } else {
        const known = this.getKnownVersions(daemon);
        listener(known[Math.floor(this.options.getRandom() * known.length)]);
      }
    };
    this.deliveries.push({ at: this.now + takeUpDelayMilliseconds, run });
  }

  /** The stream goes on at the daemon, if that knows an engine of the version. */
  private finishTakeUp(
    { id, version, endsAt }: RunningStream,
    daemon: number,
    found: string | undefined,
  ): void {
    const canServe = found !== undefined && this.getKnownVersions(daemon).includes(found);
    const outcome = !canServe ? "refused" : found === version ? "sameVersion" : "otherVersion";
    this.takeUps.push({ at: this.now, daemon, outcome });
    if (canServe) {
      this.running.push({ id, version, daemon, endsAt, breaksAt: Infinity });
    }
  }
}
