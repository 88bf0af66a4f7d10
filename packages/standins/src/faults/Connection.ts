import { connect, type Socket } from "node:net";
import { Pipe } from "./Pipe.js";
import { resetSocket } from "./resetSocket.js";
import type { Direction, LinkMode, Rule } from "./schema.js";
import { Trigger } from "./Trigger.js";
import { wasReset } from "./wasReset.js";

/** Events that a connection reports to its link. */
export interface ConnectionEvents {
  /** A rule fires; returns whether it may fire again on this connection. */
  onFire(connection: Connection, rule: Rule): boolean;
  /** The first bytes of a response were forwarded. */
  onResponse(connection: Connection): void;
  onClose(connection: Connection): void;
}

/** A client connection through a link, and its connection to the target. */
export class Connection {
  private readonly requestPipe: Pipe;
  private readonly responsePipe: Pipe;
  private readonly target: Socket;
  private triggers: Trigger[];
  private isAwaitingResponse = false;

  private constructor(
    private readonly client: Socket,
    address: URL,
    rules: readonly Rule[],
    private readonly events: ConnectionEvents,
  ) {
    this.triggers = rules.map((rule) => Trigger.create(rule));
    this.target = connect({
      port: Number(address.port),
      host: address.hostname,
      allowHalfOpen: true,
    });
    this.requestPipe = Pipe.create(client, this.target);
    this.responsePipe = Pipe.create(this.target, client);
    this.addSocketListeners(client, "request", this.requestPipe);
    this.addSocketListeners(this.target, "response", this.responsePipe);
  }

  /**
   * Opens a connection to the target for a client.
   * @param client - Socket of the accepted connection.
   * @param address - Address of the target.
   * @param rules - Rules that apply to the connection.
   * @param events - Handlers of the connection's events.
   */
  static create(
    client: Socket,
    address: URL,
    rules: readonly Rule[],
    events: ConnectionEvents,
  ): Connection {
    return new Connection(client, address, rules, events);
  }

  /**
   * Replaces the rules; bytes forwarded before do not count.
   * @param rules - Rules from now on.
   */
  setRules(rules: readonly Rule[]): void {
    this.triggers = rules.map((rule) => Trigger.create(rule));
  }

  /**
   * Applies the mode of the link. When the link opens again, a connection that lost bytes is reset.
   * @param mode - Mode of the link.
   */
  setMode(mode: LinkMode): void {
    const isReset = mode === "refuse" || mode === "closed";
    if (isReset || (mode === "open" && this.hasLostBytes())) {
      this.reset();
    }
    if (mode === "cut" || mode === "cut-request") {
      this.requestPipe.discard();
    }
    if (mode === "cut" || mode === "cut-response") {
      this.responsePipe.discard();
    }
  }

  /**
   * Blocks or unblocks a direction; its bytes are buffered while it is blocked.
   * @param direction - Direction to block or unblock.
   * @param isBlocked - Whether the direction is blocked.
   */
  setBlocked(direction: Direction, isBlocked: boolean): void {
    const pipe = direction === "request" ? this.requestPipe : this.responsePipe;
    if (isBlocked) {
      pipe.block();
    } else {
      pipe.unblock();
    }
  }

  /**
   * Discards the bytes of a direction from now on.
   * @param direction - Direction to discard.
   */
  discard(direction: Direction): void {
    (direction === "request" ? this.requestPipe : this.responsePipe).discard();
  }

  /**
   * Sends the responses of two connections to each other's client.
   * @param other - Connection to swap with.
   */
  swapResponses(other: Connection): void {
    const sink = this.responsePipe.getSink();
    this.responsePipe.setSink(other.responsePipe.getSink());
    other.responsePipe.setSink(sink);
  }

  /** Resets the connections to the client and to the target. */
  reset(): void {
    resetSocket(this.client);
    resetSocket(this.target);
  }

  private hasLostBytes(): boolean {
    return this.requestPipe.hasLostBytes() || this.responsePipe.hasLostBytes();
  }

  private addSocketListeners(socket: Socket, direction: Direction, pipe: Pipe): void {
    socket.setNoDelay(true);
    socket.on("data", (bytes) => {
      this.forward(direction, pipe, bytes);
    });
    socket.on("end", () => {
      if (wasReset(socket)) {
        this.reset();
      } else {
        pipe.end();
      }
    });
    socket.on("error", () => {
      this.reset();
    });
    socket.on("close", () => {
      // A cut can keep one socket open long after the other is closed.
      if (this.client.closed && this.target.closed) {
        this.events.onClose(this);
      }
    });
  }

  private forward(direction: Direction, pipe: Pipe, bytes: Buffer): void {
    const isResponseStart = this.trackResponseStart(direction);
    let rest = bytes;
    for (const trigger of [...this.triggers]) {
      const position = trigger.getFirePosition(direction, rest);
      if (position !== undefined) {
        pipe.push(rest.subarray(0, position));
        rest = rest.subarray(position);
        this.fire(trigger);
      }
    }
    pipe.push(rest);
    if (isResponseStart) {
      this.events.onResponse(this);
    }
  }

  /** Notes the direction of the last bytes; returns whether these are the first of a response. */
  private trackResponseStart(direction: Direction): boolean {
    const isResponseStart = direction === "response" && this.isAwaitingResponse;
    this.isAwaitingResponse = direction === "request";
    return isResponseStart;
  }

  private fire(trigger: Trigger): void {
    this.triggers = this.triggers.filter((other) => other !== trigger);
    if (this.events.onFire(this, trigger.rule)) {
      this.triggers.push(Trigger.create(trigger.rule));
    }
  }
}
