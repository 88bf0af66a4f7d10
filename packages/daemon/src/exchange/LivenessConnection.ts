import type { IncomingHttpHeaders } from "node:http";
import { connect as openSocket, type Socket } from "node:net";
import { Client, type buildConnector, type Dispatcher } from "undici";
import { limitConnectTime } from "./connect.js";
import { HealthExchange } from "./HealthExchange.js";

/** How a process is asked for its health. */
export interface HealthRequest {
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
}

/**
 * What became of a question: the process answered, it ended the connection instead, or neither came in time.
 */
export type LivenessAnswer =
  | { readonly kind: "answered"; readonly headers: IncomingHttpHeaders }
  | { readonly kind: "ended" }
  | { readonly kind: "silent" };

/** What a connection depends on. */
export interface LivenessConnectionOptions {
  /** IPv4 address and port. */
  readonly address: string;
  readonly request: HealthRequest;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  /** Called when it is closed. */
  readonly onClosed: (connection: LivenessConnection) => void;
}

/** Time in which a process answers; one whose places are all taken may let the question wait. */
const answerTimeoutMilliseconds = 1_000;
const keepAliveDelayMilliseconds = 1_000;
/** Idle time after which the HTTP client closes the connection, longer than any answer takes. */
const idleTimeoutMilliseconds = 600_000;

/**
 * A connection that shows whether the process at its other end goes on: whatever is at the address later, only that process
 * can answer on it.
 */
export class LivenessConnection {
  /** Monotonic time at which it was opened; undefined until then. */
  connectedAt: number | undefined;
  /** Whether the other side ended it without being asked, as it does when its process ends. */
  wasEndedByOtherSide = false;
  /** Resolves once it is open, or closed because it could not be opened. */
  readonly settled: Promise<void>;
  private readonly socket: Socket;
  private readonly client: Client;
  private exchange: HealthExchange | undefined;
  private lastAnswer: Promise<unknown> = Promise.resolve();
  private nextAnswer: Promise<LivenessAnswer> | undefined;

  private constructor(private readonly options: LivenessConnectionOptions) {
    const [host = "", port = ""] = options.address.split(":");
    this.socket = openSocket({ host, port: Number(port), noDelay: true });
    this.socket.setKeepAlive(true, keepAliveDelayMilliseconds);
    limitConnectTime(this.socket);
    this.settled = this.recordEvents();
    this.client = new Client(`http://${options.address}`, {
      connect: (_options, callback) => {
        // The HTTP client does not expect to be called back at once.
        setImmediate(() => {
          this.handOver(callback);
        });
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMilliseconds,
      keepAliveMaxTimeout: idleTimeoutMilliseconds,
    });
  }

  /**
   * Opens a connection.
   * @param options - What it depends on.
   */
  static open(options: LivenessConnectionOptions): LivenessConnection {
    return new LivenessConnection(options);
  }

  /** Checks whether it is open. */
  isOpen(): boolean {
    return this.connectedAt !== undefined && !this.socket.destroyed;
  }

  /** Asks the process for its health. Questions that come while one is under way are asked together after it. */
  ask(): Promise<LivenessAnswer> {
    this.nextAnswer ??= this.askNext();
    return this.nextAnswer;
  }

  /** Closes it. */
  close(): void {
    this.socket.destroy();
    this.client.destroy(() => undefined);
  }

  /** Gives the socket to the HTTP client. */
  private handOver(callback: buildConnector.Callback): void {
    if (this.isOpen()) {
      callback(null, this.socket);
    } else {
      callback(new Error("the connection is closed"), null);
    }
  }

  private async askNext(): Promise<LivenessAnswer> {
    await this.lastAnswer;
    this.nextAnswer = undefined;
    const answer = this.send();
    this.lastAnswer = answer;
    return answer;
  }

  private async send(): Promise<LivenessAnswer> {
    if (!this.isOpen()) {
      return { kind: "ended" };
    }
    const exchange = HealthExchange.create();
    this.exchange = exchange;
    const timer = setTimeout(() => {
      // What came while this process stood still is taken before.
      setImmediate(() => {
        exchange.giveUp();
      });
    }, answerTimeoutMilliseconds);
    const { path, headers } = this.options.request;
    const options: Dispatcher.DispatchOptions = { method: "GET", path, headers: [...headers] };
    this.client.dispatch(options, exchange);
    const answer = await exchange.answer;
    clearTimeout(timer);
    if (answer.kind !== "answered") {
      this.close();
    }
    return answer;
  }

  /** Follows the socket until it is closed. It is read all the while, as its end is not seen otherwise. */
  private recordEvents(): Promise<void> {
    const { socket, options } = this;
    const recordEnd = (): void => {
      this.wasEndedByOtherSide ||= this.exchange?.isAnswering() !== true;
    };
    const refuseBytes = (): void => {
      // Nothing was asked yet, so that these bytes are no answer.
      if (this.exchange === undefined) {
        socket.destroy();
      }
    };
    return new Promise((resolve) => {
      socket.once("connect", () => {
        this.connectedAt = options.getNow();
        resolve();
      });
      socket.on("end", recordEnd);
      socket.on("error", ({ syscall }: NodeJS.ErrnoException) => {
        // The HTTP client closes the socket with errors of its own.
        if (syscall !== undefined && this.connectedAt !== undefined) {
          recordEnd();
        }
      });
      socket.once("data", refuseBytes);
      socket.once("close", () => {
        resolve();
        options.onClosed(this);
      });
    });
  }
}
