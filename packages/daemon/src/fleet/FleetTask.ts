import {
  FleetGossip,
  FleetView,
  isHint,
  type FleetMessage,
  type FleetNotice,
  type MemberState,
  type WaitingNotices,
} from "@pistachioway/kernel";
import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { Fields, LogLevel } from "../log/line.js";
import {
  decodeStreamMessage,
  encodeStreamMessage,
  isStreamDatagram,
  type StreamMessage,
} from "../streams/index.js";
import { decodeDatagram, encodeDatagram } from "./datagramCodec.js";

const roundMilliseconds = 400;
/** Shortest time between two log lines on refused datagrams, or on dropped notices. */
const repeatedLogMilliseconds = 1_000;

/** What a daemon tells of itself, beside its addresses. */
export type OwnState = Pick<
  MemberState,
  "version" | "confirmedAt" | "running" | "unreachedServices"
>;

/** What the task depends on. */
export interface FleetDependencies {
  readonly name: string;
  /** Address and port that this daemon receives datagrams on. */
  readonly address: string;
  /** Address and port of this daemon's listener for operators and peers. */
  readonly operations: string;
  readonly zone: string;
  readonly incarnation: number;
  readonly seeds: readonly string[];
  readonly getNow: () => number;
  /** Gets a random number in [0, 1). */
  readonly getRandom: () => number;
  readonly getOwnState: () => OwnState;
  /** Gets the notices that every message repeats while they hold. */
  readonly getStandingNotices: (now: number) => readonly FleetNotice[];
  /** Receives what a peer learned about upstreams, if it was not known here. */
  readonly onNotices: (notices: readonly FleetNotice[], sender: string) => void;
  /** Receives what a peer tells or asks about a stream, and the peer's address. */
  readonly onStreamMessage: (message: StreamMessage, sender: string) => void;
  /** Counts the datagrams that cannot be read. */
  readonly onRefused: () => void;
  /** Counts the states and notices that cannot be read, such as those of a later build. */
  readonly onSkippedPart: () => void;
  /** Counts the notices that were dropped before any message held them. */
  readonly onDroppedNotice: (notice: FleetNotice) => void;
  /** Runs a turn of a periodic task. */
  readonly runTurn: (task: string, turn: () => void) => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Exchanges datagrams with the other daemons. */
export class FleetTask {
  readonly view: FleetView;
  private readonly gossip: FleetGossip;
  private readonly socket: Socket = createSocket("udp4");
  private timer: NodeJS.Timeout | undefined;
  private expressTimer: NodeJS.Timeout | undefined;
  private sequence = 0;
  /** True while the socket is bound: sending before would bind it to any port. */
  private isOpen = false;
  private refusalLoggedAt = -Infinity;
  private droppedCount = 0;
  private dropLoggedAt = -Infinity;

  private constructor(private readonly dependencies: FleetDependencies) {
    const { address, seeds, zone, getRandom, getStandingNotices } = dependencies;
    this.view = FleetView.create(address, seeds);
    const { view } = this;
    this.gossip = FleetGossip.create({
      view,
      zone,
      getRandom,
      getStandingNotices,
      onDroppedNotice: (notice) => {
        this.recordDroppedNotice(notice);
      },
    });
    this.socket.on("message", (message, { address: host, port }) => {
      this.receive(message, `${host}:${String(port)}`);
    });
    this.socket.on("error", (error) => {
      if (this.isOpen) {
        this.dependencies.record("warn", "fleet.socket-failed", { detail: error.message });
      }
    });
  }

  /**
   * Creates the task without starting it.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: FleetDependencies): FleetTask {
    return new FleetTask(dependencies);
  }

  /** Binds the socket and starts the rounds; rejects when the socket cannot be bound, after which it can be tried again. */
  async start(): Promise<void> {
    const [host = "", port = ""] = this.dependencies.address.split(":");
    this.socket.bind(Number(port), host);
    await once(this.socket, "listening");
    this.isOpen = true;
    this.runRound();
    this.timer = setInterval(() => {
      this.runRound();
    }, roundMilliseconds);
  }

  /** Stops the rounds and closes the socket. */
  stop(): void {
    clearInterval(this.timer);
    clearTimeout(this.expressTimer);
    this.isOpen = false;
    this.socket.close();
  }

  /**
   * Tells the other daemons what this one learned about an upstream.
   * @param notice - What it learned.
   */
  addNotice(notice: FleetNotice): void {
    this.gossip.addNotice(notice, this.dependencies.getNow());
    this.scheduleExpress();
  }

  /**
   * Gets how many notices of a kind no message has held yet, and since when.
   * @param kind - Kind of the notices.
   */
  getWaitingNotices(kind: FleetNotice["kind"]): WaitingNotices {
    return this.gossip.getWaitingNotices(kind);
  }

  /**
   * Tells or asks one daemon about a stream.
   * @param target - Address of the daemon.
   * @param message - The message.
   */
  sendStreamMessage(target: string, message: StreamMessage): void {
    this.send(target, encodeStreamMessage(message));
  }

  private runRound(): void {
    this.dependencies.runTurn("fleet", () => {
      const now = this.dependencies.getNow();
      this.sendMessage(this.gossip.pickTargets(now), now);
    });
  }

  /** Sends a message ahead of the round as soon as one is due. */
  private scheduleExpress(): void {
    const expressAt = this.gossip.getExpressAt();
    if (expressAt === undefined || this.expressTimer !== undefined || !this.isOpen) {
      return;
    }
    const milliseconds = Math.max(0, expressAt - this.dependencies.getNow());
    this.expressTimer = setTimeout(() => {
      this.expressTimer = undefined;
      this.dependencies.runTurn("fleet-express", () => {
        this.runExpress();
      });
    }, milliseconds);
  }

  private runExpress(): void {
    if (this.gossip.getExpressAt() === undefined) {
      return;
    }
    const now = this.dependencies.getNow();
    const message = this.gossip.createExpressMessage(this.createOwnState(now), now);
    this.sendDatagram(this.gossip.pickExpressTargets(now), message, now);
    this.scheduleExpress();
  }

  private sendMessage(targets: readonly string[], now: number): void {
    if (targets.length > 0) {
      const message = this.gossip.createMessage(this.createOwnState(now), now);
      this.sendDatagram(targets, message, now);
    }
  }

  private sendDatagram(targets: readonly string[], message: FleetMessage, now: number): void {
    const datagram = encodeDatagram(message, now);
    targets.forEach((target) => {
      this.send(target, datagram);
    });
  }

  private createOwnState(now: number): MemberState {
    const { name, address, operations, zone, incarnation, getOwnState } = this.dependencies;
    this.sequence += 1;
    const identity = { name, address, operations, zone, incarnation };
    return { ...identity, sequence: this.sequence, sampledAt: now, ...getOwnState() };
  }

  private send(target: string, datagram: Buffer): void {
    // Requests that outlive the stop still tell of their streams.
    if (!this.isOpen) {
      return;
    }
    const [host = "", port = ""] = target.split(":");
    this.socket.send(datagram, Number(port), host, (error) => {
      if (error !== null) {
        this.dependencies.record("debug", "fleet.send-failed", { target, detail: error.message });
      }
    });
  }

  private receive(bytes: Buffer, sender: string): void {
    const now = this.dependencies.getNow();
    if (isStreamDatagram(bytes)) {
      this.receiveStreamMessage(bytes, sender, now);
      return;
    }
    const message = decodeDatagram(bytes, now, this.dependencies.onSkippedPart);
    if (message === undefined) {
      this.refuse(bytes.length, now);
      return;
    }
    const { notices, newcomer } = this.gossip.receive(message, now);
    if (newcomer !== undefined) {
      this.sendMessage([newcomer], now);
    }
    if (notices.length > 0) {
      this.dependencies.onNotices(notices, message.states[0]?.name ?? "-");
      this.scheduleExpress();
    }
  }

  private receiveStreamMessage(bytes: Buffer, sender: string, now: number): void {
    const message = decodeStreamMessage(bytes);
    if (message === undefined) {
      this.refuse(bytes.length, now);
    } else {
      this.dependencies.onStreamMessage(message, sender);
    }
  }

  private refuse(bytes: number, now: number): void {
    this.dependencies.onRefused();
    if (now - this.refusalLoggedAt >= repeatedLogMilliseconds) {
      this.refusalLoggedAt = now;
      this.dependencies.record("warn", "fleet.datagram-refused", { bytes });
    }
  }

  private recordDroppedNotice(notice: FleetNotice): void {
    const now = this.dependencies.getNow();
    this.dependencies.onDroppedNotice(notice);
    if (isHint(notice)) {
      return;
    }
    this.droppedCount += 1;
    if (now - this.dropLoggedAt >= repeatedLogMilliseconds) {
      const { droppedCount: count } = this;
      this.dependencies.record("warn", "fleet.notices-dropped", { count, kind: notice.kind });
      this.droppedCount = 0;
      this.dropLoggedAt = now;
    }
  }
}
