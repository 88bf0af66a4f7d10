import { Connection, type ConnectionOptions } from "./Connection.js";
import { ReadPacer } from "./ReadPacer.js";

/** Keeps the idle connections to upstreams or peers, by address. */
export class ConnectionPool {
  private readonly idleByAddress = new Map<string, Connection[]>();
  private openedCount = 0;

  private constructor(
    private readonly options: ConnectionOptions,
    /** Shares the time of the process among the connections that are read. */
    readonly pacer: ReadPacer,
  ) {}

  /**
   * Creates an empty pool.
   * @param options - Options of its connections.
   * @param pacer - Shares the time of the process among all connections that are read.
   */
  static create(
    options: ConnectionOptions = {},
    pacer = ReadPacer.createDefault(),
  ): ConnectionPool {
    return new ConnectionPool(options, pacer);
  }

  /** Gets the number of connections opened so far. */
  getOpenedCount(): number {
    return this.openedCount;
  }

  /**
   * Gets the most recently used idle connection that a request may be sent on, or a new one.
   * @param address - IPv4 address and port of the upstream.
   * @param requestId - Id of the request.
   */
  acquire(address: string, requestId: string): Connection {
    const idle = this.idleByAddress.get(address) ?? [];
    const index = idle.findLastIndex((connection) => connection.isUsableFor(requestId));
    const [connection] = index < 0 ? [] : idle.splice(index, 1);
    return connection ?? this.create(address);
  }

  private create(address: string): Connection {
    this.openedCount += 1;
    const onClosed = (closed: Connection, wasEndedByPeer: boolean): void => {
      if (this.remove(address, closed) && wasEndedByPeer) {
        this.options.onIdleEnded?.(address);
      }
    };
    return Connection.create(address, onClosed, this.options);
  }

  /**
   * Checks whether there is an idle connection.
   * @param address - IPv4 address and port of the upstream.
   */
  hasIdle(address: string): boolean {
    return this.idleByAddress.get(address)?.some(({ isOpen }) => isOpen) === true;
  }

  /**
   * Returns a connection to the pool after its request has ended.
   * @param address - IPv4 address and port of the upstream.
   * @param connection - Connection to return.
   */
  release(address: string, connection: Connection): void {
    if (!connection.isOpen) {
      return;
    }
    if (connection.hasManyRefusals() || connection.wasBroken()) {
      connection.destroy();
      return;
    }
    const idle = this.idleByAddress.get(address) ?? [];
    idle.push(connection);
    this.idleByAddress.set(address, idle);
  }

  /**
   * Closes the idle connections to an address, for example because its host seems unreachable.
   * @param address - IPv4 address and port of the upstream.
   */
  closeIdleTo(address: string): void {
    const idle = this.idleByAddress.get(address) ?? [];
    this.idleByAddress.delete(address);
    idle.forEach((connection) => {
      connection.destroy();
    });
  }

  /** Closes every idle connection. */
  close(): void {
    for (const idle of this.idleByAddress.values()) {
      idle.forEach((connection) => {
        connection.destroy();
      });
    }
    this.idleByAddress.clear();
  }

  /** Removes an idle connection, and gets whether it was one. */
  private remove(address: string, connection: Connection): boolean {
    const idle = this.idleByAddress.get(address);
    const index = idle?.indexOf(connection) ?? -1;
    if (idle === undefined || index < 0) {
      return false;
    }
    idle.splice(index, 1);
    if (idle.length === 0) {
      this.idleByAddress.delete(address);
    }
    return true;
  }
}
