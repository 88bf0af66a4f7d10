import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import { AwaitableCounter } from "../counters/index.js";
import {
  datagramRuleSchema,
  type DatagramRule,
  type DatagramRuleOptions,
  type Direction,
  type LinkMode,
} from "./schema.js";

type Send = (message: Buffer) => void;

/** A UDP socket that forwards datagrams to one target, and its replies back, with faults. */
export class DatagramLink {
  readonly firingCounter = AwaitableCounter.create();
  private readonly socket = createSocket("udp4");
  private readonly targetUrl: URL;
  /** Sockets to the target by client address. */
  private readonly socketsByClient = new Map<string, Socket>();
  private readonly counts: Record<Direction, number> = { request: 0, response: 0 };
  private readonly heldSends: Record<Direction, (() => void)[]> = { request: [], response: [] };
  private rules: DatagramRule[] = [];
  private mode: LinkMode = "open";

  private constructor(
    readonly name: string,
    target: string,
  ) {
    this.targetUrl = new URL(`udp://${target}`);
    this.socket.on("message", (message, client) => {
      this.forwardRequest(message, client);
    });
  }

  /**
   * Creates a link that is not bound yet.
   * @param name - Name of the link.
   * @param target - Address in the form `127.0.0.1:PORT`.
   */
  static create(name: string, target: string): DatagramLink {
    return new DatagramLink(name, target);
  }

  /** Gets the address in the form `127.0.0.1:PORT`. */
  get address(): string {
    return `127.0.0.1:${String(this.socket.address().port)}`;
  }

  /** Binds a free port and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.socket.bind(0, "127.0.0.1", resolve));
    return this.address;
  }

  /** Closes every socket. */
  async close(): Promise<void> {
    for (const socket of this.socketsByClient.values()) {
      socket.close();
    }
    this.socketsByClient.clear();
    await new Promise<void>((resolve) => this.socket.close(resolve));
  }

  /**
   * Sets the mode of the link.
   * @param mode - Mode from now on; `refuse` is the same as `cut`.
   */
  setMode(mode: LinkMode): void {
    this.mode = mode;
  }

  /**
   * Replaces the rules and counts datagrams from 1 again.
   * @param rules - Rules from now on.
   */
  setRules(rules: readonly DatagramRuleOptions[]): void {
    this.rules = rules.map((rule) => datagramRuleSchema.parse(rule));
    this.counts.request = 0;
    this.counts.response = 0;
  }

  /** Sends every datagram that a `hold` rule keeps back. */
  release(): void {
    this.releaseHeld("request");
    this.releaseHeld("response");
  }

  /** Gets the counters. */
  getCounters(): { mode: LinkMode; accepted: number; open: number; fired: number } {
    const { mode, counts, socketsByClient } = this;
    const fired = this.firingCounter.getCount();
    return { mode, accepted: counts.request, open: socketsByClient.size, fired };
  }

  private forwardRequest(message: Buffer, client: RemoteInfo): void {
    const socket = this.getOrOpenSocket(client);
    this.forward("request", message, (bytes) => {
      socket.send(bytes, Number(this.targetUrl.port), this.targetUrl.hostname);
    });
  }

  private getOrOpenSocket(client: RemoteInfo): Socket {
    const key = `${client.address}:${String(client.port)}`;
    const found = this.socketsByClient.get(key);
    if (found !== undefined) {
      return found;
    }
    const socket = createSocket("udp4");
    socket.on("message", (message) => {
      this.forward("response", message, (bytes) => {
        this.socket.send(bytes, client.port, client.address);
      });
    });
    this.socketsByClient.set(key, socket);
    return socket;
  }

  private forward(direction: Direction, message: Buffer, send: Send): void {
    if (this.isCut(direction)) {
      return;
    }
    this.counts[direction] += 1;
    const count = this.counts[direction];
    const rule = this.rules.find((candidate) => appliesTo(candidate, direction, count));
    if (rule === undefined) {
      send(message);
      this.releaseHeld(direction);
      return;
    }
    this.apply(rule, message, send);
    this.firingCounter.add();
  }

  private isCut(direction: Direction): boolean {
    return this.mode === "cut" || this.mode === "refuse" || this.mode === `cut-${direction}`;
  }

  private apply(rule: DatagramRule, message: Buffer, send: Send): void {
    switch (rule.action) {
      case "drop":
        return;
      case "duplicate":
        send(message);
        send(message);
        return;
      case "hold":
        this.heldSends[rule.direction].push(() => {
          send(message);
        });
        return;
      case "delay":
        setTimeout(() => {
          send(message);
        }, rule.delayMilliseconds).unref();
    }
  }

  private releaseHeld(direction: Direction): void {
    for (const sendHeld of this.heldSends[direction].splice(0)) {
      sendHeld();
    }
  }
}

function appliesTo(rule: DatagramRule, direction: Direction, count: number): boolean {
  const { message, count: length } = rule;
  return rule.direction === direction && count >= message && count < message + length;
}
