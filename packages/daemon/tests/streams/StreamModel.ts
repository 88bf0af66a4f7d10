import { StreamDirectory, type StreamMessage } from "@pistachioway/daemon";
import type { Upstream } from "@pistachioway/kernel";

/** How a stream that was taken up went on. */
export interface ModelTakeUp {
  readonly outcome: "same" | "other" | "refused";
  /** Version at which the stream began. */
  readonly version: string;
}

/** What can happen to one daemon of the model. */
type Condition = "live" | "dead" | "standing" | "cutFromPeers" | "cutFromStore";

interface ModelDaemon {
  readonly address: string;
  directory: StreamDirectory;
  condition: Condition;
  conditionUntil: number;
  incarnation: number;
  upstreams: readonly Upstream[];
  readAt: number;
  nextReadAt: number;
  /** When each peer was heard of last, with its start. */
  readonly heard: Map<string, { at: number; incarnation: number }>;
  streams: ModelStream[];
}

interface ModelStream {
  readonly id: string;
  readonly version: string;
  readonly begunAt: number;
}

interface Timer {
  readonly at: number;
  /** Daemon whose process the timer belongs to; it does not run while that stands still. */
  readonly daemon: ModelDaemon;
  readonly incarnation: number;
  readonly run: () => void;
}

const service = "engines";
const stepMilliseconds = 20;
const latencyMilliseconds = 20;
const heartbeatMilliseconds = 300;
const peerTimeoutMilliseconds = 2_500;
const listMilliseconds = 700;
const housekeepingMilliseconds = 200;
/** Shortest time from the start of a stream until its caller takes it up at another daemon. */
const minTakeUpMilliseconds = 1_400;
const maxTakeUpMilliseconds = 9_000;

/**
 * A small fleet whose daemons stop, stand still, restart and are cut off in random orders, while the versions of a service
 * change and streams begin and are taken up.
 */
export class StreamModel {
  readonly takeUps: ModelTakeUp[] = [];
  now = 0;
  private versions: readonly string[] = ["v1"];
  private readonly daemons: ModelDaemon[] = [];
  private timers: Timer[] = [];
  private nextId = 1;

  private constructor(private readonly getRandom: () => number) {}

  /**
   * Creates a fleet of which all daemons have read the list.
   * @param count - Number of daemons.
   * @param getRandom - Gets a random number in [0, 1).
   */
  static create(count: number, getRandom: () => number): StreamModel {
    const model = new StreamModel(getRandom);
    for (let index = 0; index < count; index += 1) {
      model.daemons.push(model.createDaemon(`10.0.0.${String(index + 1)}:1`));
    }
    return model;
  }

  /** Lets time pass; streams begin and are taken up meanwhile. */
  run(milliseconds: number): void {
    const end = this.now + milliseconds;
    while (this.now < end) {
      this.now += stepMilliseconds;
      this.step();
    }
  }

  setVersions(versions: readonly string[]): void {
    this.versions = versions;
  }

  /** Changes the condition of some daemons for a time; a dead one starts again after it. */
  disturb(count: number, condition: Condition, milliseconds: number): void {
    const chosen = [...this.daemons]
      .sort(() => this.getRandom() - 0.5)
      .slice(0, Math.min(count, this.daemons.length));
    chosen.forEach((daemon) => {
      daemon.condition = condition;
      daemon.conditionUntil = this.now + milliseconds;
      if (condition === "dead") {
        this.loseStreams(daemon);
      }
    });
  }

  private createDaemon(address: string): ModelDaemon {
    const daemon: Omit<ModelDaemon, "directory"> = {
      address,
      condition: "live",
      conditionUntil: Infinity,
      incarnation: this.now,
      upstreams: [],
      readAt: -Infinity,
      nextReadAt: this.now + this.getRandom() * listMilliseconds,
      heard: new Map(),
      streams: [],
    };
    const created = daemon as ModelDaemon;
    created.directory = this.createDirectory(created);
    return created;
  }

  private createDirectory(daemon: ModelDaemon): StreamDirectory {
    return StreamDirectory.create({
      address: daemon.address,
      isFirstStart: this.now === 0,
      getPeers: () =>
        [...daemon.heard]
          .filter(([, { at }]) => this.now - at < peerTimeoutMilliseconds)
          .map(([address, { incarnation }]) => ({ address, incarnation })),
      isAtRisk: () => daemon.condition === "cutFromStore",
      send: (target, message) => {
        this.send(daemon, target, message);
      },
      schedule: (milliseconds, run) => this.schedule(daemon, milliseconds, run),
      getNow: () => this.now,
    });
  }

  private schedule(daemon: ModelDaemon, milliseconds: number, run: () => void): () => void {
    const timer = { at: this.now + milliseconds, daemon, incarnation: daemon.incarnation, run };
    this.timers.push(timer);
    return () => {
      this.timers = this.timers.filter((each) => each !== timer);
    };
  }

  private send(from: ModelDaemon, target: string, message: StreamMessage): void {
    const to = this.daemons.find(({ address }) => address === target);
    if (to === undefined || !canTalk(from, to)) {
      return;
    }
    this.schedule(to, latencyMilliseconds, () => {
      if (canTalk(from, to)) {
        to.directory.receive(message, from.address);
      }
    });
  }

  private step(): void {
    this.daemons.forEach((daemon) => {
      this.endCondition(daemon);
    });
    const due = this.timers.filter(({ at, daemon }) => at <= this.now && canRun(daemon));
    this.timers = this.timers.filter((timer) => !due.includes(timer));
    due
      .filter(({ daemon, incarnation }) => daemon.incarnation === incarnation)
      .forEach(({ run }) => {
        run();
      });
    this.daemons.filter(canRun).forEach((daemon) => {
      this.runDaemon(daemon);
    });
  }

  private endCondition(daemon: ModelDaemon): void {
    if (daemon.condition === "live" || this.now < daemon.conditionUntil) {
      return;
    }
    if (daemon.condition === "dead") {
      daemon.incarnation = this.now;
      daemon.upstreams = [];
      daemon.readAt = -Infinity;
      daemon.nextReadAt = this.now;
      daemon.heard.clear();
      daemon.directory = this.createDirectory(daemon);
    }
    daemon.condition = "live";
  }

  private runDaemon(daemon: ModelDaemon): void {
    if (daemon.condition !== "cutFromStore" && this.now >= daemon.nextReadAt) {
      daemon.upstreams = this.versions.map(createUpstream);
      daemon.readAt = this.now;
      daemon.nextReadAt = this.now + listMilliseconds;
    }
    if (this.now % heartbeatMilliseconds === 0) {
      this.sendHeartbeats(daemon);
    }
    if (this.now % housekeepingMilliseconds === 0) {
      const { upstreams } = daemon;
      const ageMilliseconds = this.now - daemon.readAt;
      daemon.directory.recordList({ upstreams, ageMilliseconds, readCount: 1 });
    }
    if (daemon.upstreams.length > 0 && this.getRandom() < 0.01) {
      this.begin(daemon);
    }
    if (daemon.streams.length > 0 && this.getRandom() < 0.005) {
      this.loseStreams(daemon);
    }
  }

  private sendHeartbeats(from: ModelDaemon): void {
    this.daemons
      .filter((to) => to !== from && canTalk(from, to))
      .forEach((to) => {
        const heard = { at: this.now, incarnation: from.incarnation };
        this.schedule(to, latencyMilliseconds, () => to.heard.set(from.address, heard));
      });
  }

  private begin(daemon: ModelDaemon): void {
    const index = Math.floor(this.getRandom() * daemon.upstreams.length);
    const version = daemon.upstreams[index]?.softwareVersion ?? "";
    const stream = { id: `q-${String(this.nextId)}`, version, begunAt: this.now };
    this.nextId += 1;
    daemon.directory.addStream(stream.id, service, version);
    daemon.streams.push(stream);
  }

  /** The callers of a daemon leave their streams, and take them up at any other. */
  private loseStreams(daemon: ModelDaemon): void {
    const { streams } = daemon;
    daemon.streams = [];
    streams.forEach((stream) => {
      const delay = minTakeUpMilliseconds + this.getRandom() * 1_000;
      const others = this.daemons.filter((each) => each !== daemon);
      const target = others[Math.floor(this.getRandom() * others.length)];
      if (target !== undefined && this.now - stream.begunAt < maxTakeUpMilliseconds) {
        this.schedule(target, delay, () => {
          this.takeUp(target, stream);
        });
      }
    });
  }

  private takeUp(daemon: ModelDaemon, stream: ModelStream): void {
    if (!canRun(daemon)) {
      return;
    }
    daemon.directory.findVersion(stream.id, service, (found) => {
      const outcome = found === undefined ? "refused" : found === stream.version ? "same" : "other";
      this.takeUps.push({ outcome, version: stream.version });
      if (outcome === "same") {
        daemon.streams.push(stream);
      }
    });
  }
}

function canRun({ condition }: ModelDaemon): boolean {
  return condition !== "dead" && condition !== "standing";
}

/** Checks whether datagrams pass; those to a daemon that stands still wait for it. */
function canTalk(from: ModelDaemon, to: ModelDaemon): boolean {
  return [from, to].every(({ condition }) => condition !== "dead" && condition !== "cutFromPeers");
}

function createUpstream(softwareVersion: string): Upstream {
  const identity = { id: `i-${softwareVersion}`, service, address: "10.1.0.1:80", zone: "north" };
  return { ...identity, slots: 64, state: "ready", bornAt: 0, sequence: 1, softwareVersion };
}
