import { Client, type Dispatcher } from "undici";
import { createConnector, type SocketState } from "./connect.js";

/** Idle time after which a connection is closed, unless the upstream sends its own idle timeout. */
const idleTimeoutMilliseconds = 1_000;
/** Code of the HTTP client's error for a connection that the other side has ended. */
const socketErrorCode = "UND_ERR_SOCKET";
/** Refused requests after which a connection is not used again, so that their ids stay few. */
const maxRefusedRequests = 100;
/** Margin by which a connection is closed before the upstream's own idle timeout. */
const idleMarginMilliseconds = 300;

/** What differs between connections to upstreams and to peers. */
export interface ConnectionOptions {
  /** Address of this host to connect from; any by default. */
  readonly localAddress?: string;
  /** Size of the largest head of a response. */
  readonly maxHeaderBytes?: number;
  /** Called with the address of the other side when it has ended an idle connection, as a process that stops does. */
  readonly onIdleEnded?: (address: string) => void;
}

/** One connection to an upstream or a peer, for one request at a time. */
export class Connection {
  isOpen = true;
  /** Ids of the requests that were refused on it. */
  private readonly refusedRequestIds = new Set<string>();
  private readonly client: Client;

  private constructor(
    origin: string,
    private readonly socketState: SocketState,
    onClosed: (connection: Connection, wasEndedByPeer: boolean) => void,
    { localAddress, maxHeaderBytes }: ConnectionOptions,
  ) {
    this.client = new Client(origin, {
      connect: createConnector(socketState, localAddress),
      ...(maxHeaderBytes === undefined ? {} : { maxHeaderSize: maxHeaderBytes }),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: idleTimeoutMilliseconds,
      keepAliveTimeoutThreshold: idleMarginMilliseconds,
    });
    this.client.on("disconnect", (_, __, error) => {
      const wasEndedByPeer = this.isOpen && error.code === socketErrorCode;
      this.isOpen = false;
      onClosed(this, wasEndedByPeer);
    });
  }

  /**
   * Creates a connection that opens with its first request.
   * @param address - IPv4 address and port of the upstream.
   * @param onClosed - Called when it accepts no further request, and whether the other side ended it.
   * @param options - What differs from other connections.
   */
  static create(
    address: string,
    onClosed: (connection: Connection, wasEndedByPeer: boolean) => void,
    options: ConnectionOptions,
  ): Connection {
    const state = { wasBroken: false, hasConnectFailed: false, onEnded: () => undefined };
    return new Connection(`http://${address}`, state, onClosed, options);
  }

  /** Checks whether the connection was reset or failed, rather than being closed in order. */
  wasBroken(): boolean {
    return this.socketState.wasBroken;
  }

  /** Records that the upstream refused a request on this connection. */
  addRefusedRequest(id: string): void {
    this.refusedRequestIds.add(id);
  }

  /**
   * Checks whether a request may be sent on this connection. One that was refused on it is not sent on it again: the
   * upstream could write the refusal once more, and it names the same request.
   * @param id - Id of the request.
   */
  isUsableFor(id: string): boolean {
    return this.isOpen && !this.refusedRequestIds.has(id);
  }

  /** Checks whether so many requests were refused on this connection that it is not used again. */
  hasManyRefusals(): boolean {
    return this.refusedRequestIds.size >= maxRefusedRequests;
  }

  /** Checks whether no connection could be opened. */
  hasConnectFailed(): boolean {
    return this.socketState.hasConnectFailed;
  }

  /**
   * Sends a request.
   * @param options - The request.
   * @param handler - Receives the response or the failure.
   * @param onEnded - Called when all bytes were read and the connection has ended; must not leave the response paused.
   */
  dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    onEnded: () => void,
  ): void {
    this.socketState.onEnded = onEnded;
    this.client.dispatch(options, handler);
  }

  /** Closes the connection at once, which also cancels the request on it. */
  destroy(): void {
    this.isOpen = false;
    this.client.destroy(() => undefined);
  }
}
