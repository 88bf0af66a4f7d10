import { decodeDatagram, encodeDatagram } from "@pistachioway/daemon";
import {
  FleetGossip,
  FleetView,
  getReleaseDelay,
  ContentQuarantine,
  type FleetMessage,
  type FleetNotice,
  type MemberState,
} from "@pistachioway/kernel";

/** Options of a simulated fleet. */
export interface GossipSimulationOptions {
  readonly daemons: number;
  readonly zones: number;
  /** Requests that each daemon has in flight, each at another upstream. */
  readonly running: number;
  /** Ratio of datagrams that are lost. */
  readonly loss: number;
  readonly getRandom: () => number;
}

interface Member {
  readonly address: string;
  readonly zone: string;
  readonly view: FleetView;
  readonly gossip: FleetGossip;
  readonly quarantine: ContentQuarantine;
  readonly phase: number;
  isRunning: boolean;
  sequence: number;
  incarnation: number;
  sentBytes: number;
}

const roundMilliseconds = 400;
const stepMilliseconds = 10;
const latencyMilliseconds = 2;

/** A fleet whose daemons exchange encoded datagrams in simulated time, from three seeds of which two are stale. */
export class GossipSimulation {
  now = 0;
  /** Whether messages are encoded as datagrams; without it a large fleet runs faster. */
  isEncoded = true;
  largestDatagramBytes = 0;
  /** Called for each notice that is new to a daemon, with the daemon's index. */
  onNotice: (daemon: number, notice: FleetNotice) => void = () => undefined;
  /** Called for each notice that a daemon drops before any of its messages held it, with the daemon's index. */
  onDroppedNotice: (daemon: number, notice: FleetNotice) => void = () => undefined;
  /** Gets the hashes of the services of which a daemon reaches no upstream, by the daemon's index. */
  getUnreachedServices: (daemon: number) => ReadonlySet<number> = () => new Set();
  /** Checks whether the datagrams of one zone to another are lost. */
  isCut: (from: string, to: string) => boolean = () => false;
  readonly members: readonly Member[];
  private readonly indexes = new Map<string, number>();
  /** Notices that were new to a daemon, with its address. */
  readonly received: { readonly address: string; readonly notice: FleetNotice }[] = [];

  private constructor(private readonly options: GossipSimulationOptions) {
    this.members = Array.from({ length: options.daemons }, (_, index) => this.createMember(index));
  }

  /**
   * Creates a fleet whose daemons know the seeds only.
   * @param options - Options of the fleet.
   */
  static create(options: GossipSimulationOptions): GossipSimulation {
    return new GossipSimulation(options);
  }

  /** Lets time pass. */
  run(milliseconds: number): void {
    const until = this.now + milliseconds;
    while (this.now < until) {
      this.now += stepMilliseconds;
      this.members
        .filter(({ isRunning, phase }) => isRunning && this.now % roundMilliseconds === phase)
        .forEach((member) => {
          this.runRound(member);
        });
      this.members
        .filter(({ isRunning, gossip }) => isRunning && isDue(gossip.getExpressAt(), this.now))
        .forEach((member) => {
          this.runExpress(member);
        });
    }
  }

  /** Gets the ages of the states of running daemons at other running ones, in ascending order. */
  getAges(): readonly number[] {
    const running = new Set(this.getRunning().map(({ address }) => address));
    return this.getRunning()
      .flatMap(({ view }) => view.getLiveStates(this.now))
      .filter(({ address }) => running.has(address))
      .map(({ sampledAt }) => this.now - sampledAt)
      .sort((a, b) => a - b);
  }

  /** Gets the running daemons. */
  getRunning(): readonly Member[] {
    return this.members.filter(({ isRunning }) => isRunning);
  }

  /** Restarts daemons, which forget everything but the seeds. */
  restart(indexes: readonly number[]): void {
    indexes.forEach((index) => {
      const member = this.members[index];
      if (member !== undefined) {
        const { incarnation } = member;
        Object.assign(member, this.createMember(index), { incarnation: incarnation + 1 });
      }
    });
  }

  private createMember(index: number): Member {
    const address = getAddress(index);
    this.indexes.set(address, index);
    const zone = `north-${String(index % this.options.zones)}`;
    const view = FleetView.create(address, ["10.9.9.1:9", getAddress(0), "10.9.9.2:9"]);
    const { getRandom } = this.options;
    const quarantine = this.createQuarantine(index);
    const gossip = FleetGossip.create({
      view,
      zone,
      getRandom,
      getStandingNotices: (now) => quarantine.getStandingNotices(now),
      onDroppedNotice: (notice) => {
        this.onDroppedNotice(index, notice);
      },
    });
    const phase =
      Math.floor((getRandom() * roundMilliseconds) / stepMilliseconds) * stepMilliseconds;
    const counters = { sequence: 0, incarnation: 1, sentBytes: 0 };
    return { address, zone, view, gossip, quarantine, phase, isRunning: true, ...counters };
  }

  private createQuarantine(index: number): ContentQuarantine {
    return ContentQuarantine.create({
      addFleetNotice: (notice) => {
        this.members[index]?.gossip.addNotice(notice, this.now);
      },
      getReleaseDelay: () => {
        const count = this.members[index]?.view.getPeakDaemonCount() ?? 1;
        return getReleaseDelay(count, this.options.getRandom());
      },
      onChange: () => undefined,
    });
  }

  private runRound(member: Member): void {
    this.send(member, member.gossip.pickTargets(this.now));
  }

  private runExpress(member: Member): void {
    member.sequence += 1;
    const message = member.gossip.createExpressMessage(this.createState(member), this.now);
    this.sendMessage(member, member.gossip.pickExpressTargets(this.now), message);
  }

  private send(member: Member, targets: readonly string[]): void {
    member.sequence += 1;
    const message = member.gossip.createMessage(this.createState(member), this.now);
    this.sendMessage(member, targets, message);
  }

  private sendMessage(member: Member, targets: readonly string[], message: FleetMessage): void {
    const datagram = this.isEncoded ? encodeDatagram(message, this.now) : undefined;
    const bytes = datagram?.length ?? 0;
    this.largestDatagramBytes = Math.max(this.largestDatagramBytes, bytes);
    for (const target of targets) {
      member.sentBytes += bytes;
      const receiver = this.members[this.indexes.get(target) ?? -1];
      const isLost =
        this.options.getRandom() < this.options.loss ||
        this.isCut(member.zone, receiver?.zone ?? "");
      if (receiver?.isRunning === true && !isLost) {
        this.deliver(receiver, datagram ?? message);
      }
    }
  }

  private deliver(receiver: Member, sent: Buffer | FleetMessage): void {
    const now = this.now + latencyMilliseconds;
    const message = Buffer.isBuffer(sent) ? decodeDatagram(sent, now) : sent;
    if (message === undefined) {
      throw new Error("a datagram cannot be decoded");
    }
    const { notices, newcomer } = receiver.gossip.receive(message, now);
    for (const notice of notices) {
      this.received.push({ address: receiver.address, notice });
      receiver.quarantine.applyNotice(notice, now);
      this.onNotice(this.members.indexOf(receiver), notice);
    }
    if (newcomer !== undefined) {
      this.send(receiver, [newcomer]);
    }
  }

  private createState({ address, zone, sequence, incarnation }: Member): MemberState {
    const { running, getRandom } = this.options;
    const counts = Array.from(
      { length: running },
      () => [Math.floor(getRandom() * 2 ** 32), 1] as const,
    );
    const identity = { name: `front-${zone}-${address}`, address, operations: address, zone };
    const sample = { incarnation, sequence, sampledAt: this.now, version: 12 };
    const unreachedServices = this.getUnreachedServices(this.indexes.get(address) ?? -1);
    return {
      ...identity,
      ...sample,
      confirmedAt: this.now - 900,
      running: new Map(counts),
      unreachedServices,
    };
  }
}

function getAddress(index: number): string {
  return `10.${String(1 + (index % 6))}.0.${String(index)}:8305`;
}

function isDue(instant: number | undefined, now: number): boolean {
  return instant !== undefined && instant <= now;
}
