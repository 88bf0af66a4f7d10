import type { FleetNotice } from "@pistachioway/kernel";
import { GossipSimulation } from "./GossipSimulation.js";

/** A simulated fleet and the notices that its daemons learn from their requests. */
export interface NoticeTrafficOptions {
  readonly daemons: number;
  readonly zones: number;
  /** Notices in a second on prompt blocks that engines read, over all daemons. */
  readonly prefixRate: number;
  /** Ratio of datagrams that are lost. */
  readonly loss: number;
  readonly getRandom: () => number;
}

/** A notice that all daemons must learn. */
interface ToldNotice {
  readonly key: string;
  readonly toldAt: number;
  /** When each daemon received it, by the daemon's index. */
  readonly receivedAt: Map<number, number>;
}

const stepMilliseconds = 10;
const millisecondsPerSecond = 1_000;
/** Requests that each daemon has in flight. */
const runningRequests = 6;
/** Prompt blocks that requests share, and engines that read them. */
const blockCount = 400;
const engineCount = 98;
const hashCount = 2 ** 32;

/**
 * A fleet whose daemons tell each other all the time which prompt blocks engines read, as they do with nearly every
 * stream, and now and then something that the whole fleet has to know.
 */
export class NoticeTraffic {
  readonly fleet: GossipSimulation;
  /** Notices other than those on prompt blocks that were dropped before any message held them. */
  readonly dropped: FleetNotice[] = [];
  private readonly toldByKey = new Map<string, ToldNotice>();

  private constructor(private readonly options: NoticeTrafficOptions) {
    const { daemons, zones, loss, getRandom } = options;
    this.fleet = GossipSimulation.create({
      daemons,
      zones,
      running: runningRequests,
      loss,
      getRandom,
    });
    this.fleet.isEncoded = false;
    this.fleet.onNotice = (daemon, notice) => {
      this.toldByKey.get(getKey(notice))?.receivedAt.set(daemon, this.fleet.now);
    };
    this.fleet.onDroppedNotice = (_daemon, notice) => {
      if (notice.kind !== "prefix") {
        this.dropped.push(notice);
      }
    };
  }

  /**
   * Creates a fleet without notices.
   * @param options - The fleet and its rates.
   */
  static create(options: NoticeTrafficOptions): NoticeTraffic {
    return new NoticeTraffic(options);
  }

  /** Lets time pass while engines read prompts. */
  run(milliseconds: number): void {
    const until = this.fleet.now + milliseconds;
    while (this.fleet.now < until) {
      this.fleet.run(stepMilliseconds);
      const expected = (this.options.prefixRate * stepMilliseconds) / millisecondsPerSecond;
      const count = Math.floor(expected + this.options.getRandom());
      for (let index = 0; index < count; index += 1) {
        this.addPrefix();
      }
    }
  }

  /** Gets a number below a count. */
  pick(count: number): number {
    return Math.floor(this.options.getRandom() * count);
  }

  /** Lets a running daemon learn something that all have to know. */
  tell(notice: FleetNotice, daemon = this.pickRunning()): void {
    const receivedAt = new Map([[daemon, this.fleet.now]]);
    this.toldByKey.set(getKey(notice), { key: getKey(notice), toldAt: this.fleet.now, receivedAt });
    this.fleet.members[daemon]?.gossip.addNotice(notice, this.fleet.now);
  }

  /** Lets random running daemons learn a number of losses at once. */
  addWave(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.fleet.members[this.pickRunning()]?.gossip.addNotice(this.createLoss(), this.fleet.now);
    }
  }

  /** Creates a loss of a request that no other one resembles. */
  createLoss(): FleetNotice {
    const [content, upstream, request] = [this.createHash(), this.createHash(), this.createHash()];
    return { kind: "loss", content, upstream, request, at: this.fleet.now };
  }

  /**
   * Gets the notices that a daemon has not received a time after they were told, as one line each.
   * @param milliseconds - The time.
   * @param isCounted - Checks whether a daemon, by its index, has to receive them.
   */
  getLate(milliseconds: number, isCounted = (daemon: number) => this.isRunning(daemon)): string[] {
    const daemons = this.fleet.members.map((_, index) => index).filter(isCounted);
    return [...this.toldByKey.values()].flatMap(({ key, toldAt, receivedAt }) =>
      daemons
        .map((daemon) => ({ daemon, delay: (receivedAt.get(daemon) ?? Infinity) - toldAt }))
        .filter(({ delay }) => delay > milliseconds)
        .map(({ daemon, delay }) => `${key}: daemon ${String(daemon)} after ${String(delay)} ms`),
    );
  }

  /** Gets the times from the telling of a notice until a running daemon received it, in ascending order. */
  getDelays(): readonly number[] {
    const daemons = this.fleet.members
      .map((_, index) => index)
      .filter((each) => this.isRunning(each));
    return [...this.toldByKey.values()]
      .flatMap(({ toldAt, receivedAt }) =>
        daemons.map((daemon) => (receivedAt.get(daemon) ?? Infinity) - toldAt),
      )
      .sort((a, b) => a - b);
  }

  private isRunning(daemon: number): boolean {
    return this.fleet.members[daemon]?.isRunning === true;
  }

  private pickRunning(): number {
    const running = this.fleet.members.flatMap(({ isRunning }, index) =>
      isRunning ? [index] : [],
    );
    return running[this.pick(running.length)] ?? 0;
  }

  private createHash(): number {
    return this.pick(hashCount);
  }

  private addPrefix(): void {
    const notice = {
      kind: "prefix",
      block: this.pick(blockCount),
      upstream: this.pick(engineCount),
      at: this.fleet.now,
    } as const;
    this.fleet.members[this.pickRunning()]?.gossip.addNotice(notice, this.fleet.now);
  }
}

function getKey(notice: FleetNotice): string {
  switch (notice.kind) {
    case "loss":
      return `loss ${String(notice.content)}`;
    case "leaving":
    case "resting":
    case "limit":
    case "pace":
      return `${notice.kind} ${notice.id}`;
    case "prefix":
      return `prefix ${String(notice.block)} ${String(notice.upstream)}`;
    case "served":
    case "quarantine":
      return `${notice.kind} ${String(notice.content)}`;
  }
}
