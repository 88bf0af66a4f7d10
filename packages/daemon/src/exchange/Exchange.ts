import type { ResponseHead, HeaderCodec } from "@pistachioway/kernel";
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import type { Connection } from "./Connection.js";
import type { ConnectionPool } from "./ConnectionPool.js";
import { ReadPauses } from "./ReadPauses.js";
import type { ReadTurn } from "./ReadTurn.js";
import { allowsBody } from "./allowsBody.js";
import { describeAnswer } from "./describeAnswer.js";

/** A request as it is sent to an upstream. */
export interface OutgoingRequest {
  readonly address: string;
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | undefined;
}

/** Why an exchange has no complete response. */
export interface ExchangeFailure {
  /** The request was not sent (`notSent`), or it may have run (`lost`). */
  readonly end: "notSent" | "lost";
  readonly detail: string;
  /** Whether no connection could be opened. */
  readonly hasConnectFailed: boolean;
  /** Whether the upstream's side ended the connection, as it does when the upstream crashes. */
  readonly wasClosedByUpstream: boolean;
}

/** Receives the events of one exchange. None is called after `onEnd` or `onFailure`. */
export interface ExchangeListener {
  /** The response head was received; the body follows. */
  readonly onHead: (head: ResponseHead) => void;
  readonly onData: (chunk: Buffer) => void;
  /** The complete response was received. */
  readonly onEnd: () => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

/** Reads the heads of responses. */
export type ResponseCodec = Pick<HeaderCodec, "readResponse">;

const firstFinalStatus = 200;
/** Heads before the final one that an answer may have. */
const maxInformationalHeads = 32;
/** Codes of errors that tell that the other side ended the connection. */
const closedByOtherSideCodes: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "EPIPE",
  "UND_ERR_SOCKET",
]);

/** Sends one request over one connection and reports its response. */
export class Exchange implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private wasSent = false;
  private isFinished = false;
  private wasRefused = false;
  /** Whether nothing but the end of the connection marks the end of the response. */
  private endsWithConnection = false;
  private informationalHeads = 0;
  /** Whether the listener does not want to read on. */
  private isPaused = false;
  /** Whether other connections are read first. */
  private isWaiting = false;
  /** Whether the connection has ended and all its bytes were read. */
  private isAtEnd = false;
  private readonly turn: ReadTurn;
  private readonly pauses = ReadPauses.create(() => performance.now());

  private constructor(
    private readonly pool: ConnectionPool,
    private readonly connection: Connection,
    private readonly request: OutgoingRequest,
    private readonly codec: ResponseCodec,
    private readonly listener: ExchangeListener,
  ) {
    this.turn = pool.pacer.addTurn(
      () => {
        this.isWaiting = true;
        this.stopReading();
      },
      () => {
        this.isWaiting = false;
        this.readOn();
      },
    );
  }

  /**
   * Sends a request.
   * @param pool - Connections to the upstreams.
   * @param codec - Reads the response head.
   * @param request - Request to send.
   * @param listener - Receives the response or the failure.
   */
  static start(
    pool: ConnectionPool,
    codec: ResponseCodec,
    request: OutgoingRequest,
    listener: ExchangeListener,
  ): Exchange {
    const connection = pool.acquire(request.address, request.requestId);
    const exchange = new Exchange(pool, connection, request, codec, listener);
    const { method, path, headers, body = null } = request;
    const options = { method: method as Dispatcher.HttpMethod, path, headers, body };
    connection.dispatch(options, exchange, () => {
      exchange.takeEnd();
    });
    return exchange;
  }

  /** Gets the earliest monotonic instant at which the connection may have ended, if its end is read now. */
  getEarliestEnd(): number {
    return this.pauses.getEarliestEnd();
  }

  /** Checks whether the request may have reached the upstream. */
  mayHaveRun(): boolean {
    return this.wasSent;
  }

  /** Cancels the request by closing its connection, which the upstream notices. */
  cancel(): void {
    if (!this.isFinished) {
      this.finish();
      this.connection.destroy();
    }
  }

  /** Stops reading the response until resumed. */
  pause(): void {
    this.isPaused = true;
    this.stopReading();
  }

  /** Continues to read the response. */
  resume(): void {
    this.isPaused = false;
    this.readOn();
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    this.wasSent = true;
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: IncomingHttpHeaders,
  ): void {
    if (this.isFinished) {
      return;
    }
    if (statusCode < firstFinalStatus) {
      this.countInformationalHead();
      return;
    }
    const head = this.codec.readResponse(statusCode, headers, this.request.requestId);
    if (head.meaning === "foreign") {
      this.fail(`the answer is another one, ${describeAnswer(head)}`);
      return;
    }
    this.wasRefused = head.meaning === "refusal";
    this.endsWithConnection =
      !head.isFramed && allowsBody(statusCode, this.request.method === "HEAD");
    this.listener.onHead(head);
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (!this.isFinished) {
      this.listener.onData(chunk);
      this.turn.addPiece(chunk.length);
    }
  }

  onResponseEnd(): void {
    if (this.isFinished) {
      return;
    }
    if (this.endsWithConnection && this.connection.wasBroken()) {
      this.fail("the connection broke before the end of the answer", true);
      return;
    }
    this.finish();
    if (this.wasRefused) {
      this.connection.addRefusedRequest(this.request.requestId);
    }
    this.pool.release(this.request.address, this.connection);
    this.listener.onEnd();
  }

  onResponseError(_controller: Dispatcher.DispatchController, error: NodeJS.ErrnoException): void {
    if (!this.isFinished) {
      this.fail(error.message, closedByOtherSideCodes.has(error.code ?? ""));
    }
  }

  private countInformationalHead(): void {
    this.informationalHeads += 1;
    if (this.informationalHeads > maxInformationalHeads) {
      this.fail("the answer has too many informational heads");
    }
  }

  /** Ends all pauses, as there is nothing left to read but the end: the HTTP client cannot take that while it is paused. */
  private takeEnd(): void {
    this.isAtEnd = true;
    this.controller?.resume();
  }

  private stopReading(): void {
    if (!this.isAtEnd) {
      this.pauses.recordPause();
      this.controller?.pause();
    }
  }

  private readOn(): void {
    if (!this.isPaused && !this.isWaiting) {
      this.pauses.recordResume();
      this.controller?.resume();
    }
  }

  private finish(): void {
    this.isFinished = true;
    this.turn.end();
  }

  private fail(detail: string, wasClosedByUpstream = false): void {
    this.finish();
    const hasConnectFailed = !this.wasSent && this.connection.hasConnectFailed();
    this.connection.destroy();
    const end = this.wasSent ? "lost" : "notSent";
    this.listener.onFailure({ end, detail, hasConnectFailed, wasClosedByUpstream });
  }
}
