import { connect, type Socket } from "node:net";
import { Pipe } from "./Pipe.js";
import { resetSocket } from "./resetSocket.js";
import type { Direction, LinkMode, Rule } from "./schema.js";
import { Trigger } from "./Trigger.js";

/** What a connection tells its link. */
export interface ConnectionEvents {
  /** A rule fires; returns false when it has fired often enough already. */
  onFire(connection: Connection, rule: Rule): boolean;
  /** The first bytes of an answer passed. */
  onResponse(connection: Connection): void;
  onClose(connection: Connection): void;
}

/** One client connection through a link. */
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
   * Connects a client to the target.
   * @param client - Accepted connection.
   * @param address - Address of the target.
   * @param rules - Rules that hold for the connection.
   * @param events - Called when something happens.
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
   * Replaces the rules; bytes that passed before are not looked at.
   * @param rules - Rules that hold from now on.
   */
  setRules(rules: readonly Rule[]): void {
    this.triggers = rules.map((rule) => Trigger.create(rule));
  }

  /**
   * Applies the mode of the link; a connection that lost bytes is reset when the link opens.
   * @param mode - Mode of the link.
   */
  setMode(mode: LinkMode): void {
    if (mode === "refuse" || (mode === "open" && this.hasLostBytes())) {
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
   * Keeps the bytes of a direction back, or passes them on again.
   * @param direction - Direction of the bytes.
   * @param isBlocked - Whether bytes are kept back.
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
   * @param direction - Direction of the bytes.
   */
  discard(direction: Direction): void {
    (direction === "request" ? this.requestPipe : this.responsePipe).discard();
  }

  /**
   * Exchanges the answers of two connections.
   * @param other - Connection to exchange with.
   */
  swapResponses(other: Connection): void {
    const sink = this.responsePipe.getSink();
    this.responsePipe.setSink(other.responsePipe.getSink());
    other.responsePipe.setSink(sink);
  }

  /** Resets both sides. */
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
      pipe.end();
    });
    socket.on("error", () => {
      this.reset();
    });
    socket.on("close", () => {
      // One side may be closed long before the other, which a cut keeps open.
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
