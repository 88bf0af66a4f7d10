import { MemoryBudget } from "@pistachioway/kernel";
import type { Socket } from "node:net";
import { buildConnector, Pool } from "undici";
import { ProcessWatches, wasReset } from "../exchange/index.js";

const connectionsPerHost = 512;
const connectTimeoutMilliseconds = 1_000;
const idleTimeoutMilliseconds = 4_000;
/** Memory for bodies of upstreams that are not complete. */
const maxKeptBytes = 67_108_864;

/** Keeps the connections to upstream hosts, one pool for each address. */
export class Connections {
  /** Memory that bodies are kept in until they are complete. */
  readonly memory = MemoryBudget.create(maxKeptBytes);
  /** Watches of the hosts' processes, while they send answers whose end only these can vouch for. */
  readonly processes = ProcessWatches.create();
  private readonly poolsByAddress = new Map<string, Pool>();
  /** Number of connections to each address that were reset or have failed. */
  private readonly breaksByAddress = new Map<string, number>();

  private constructor(
    /** False only in a test that switches the validation of responses off. */
    readonly checksResponses: boolean,
  ) {}

  /**
   * Creates an empty set of pools.
   * @param checksResponses - False only in a test that switches the validation of responses off.
   */
  static create(checksResponses = true): Connections {
    return new Connections(checksResponses);
  }

  /**
   * Gets the pool of an address, creating it on first use.
   * @param address - IPv4 address and port.
   */
  getPool(address: string): Pool {
    const existing = this.poolsByAddress.get(address);
    if (existing !== undefined) {
      return existing;
    }
    const pool = createPool(address, () => {
      this.breaksByAddress.set(address, this.getBreaks(address) + 1);
    });
    this.poolsByAddress.set(address, pool);
    return pool;
  }

  /**
   * Gets how many connections to an address were reset or have failed, rather than being ended in order. The HTTP client
   * takes a reset for the end of an answer without a length.
   * @param address - IPv4 address and port.
   */
  getBreaks(address: string): number {
    return this.breaksByAddress.get(address) ?? 0;
  }

  /**
   * Discards the pool of an address, so that none of its connections serves a later request.
   * Requests in flight on its connections finish first.
   * @param address - IPv4 address and port.
   */
  discard(address: string): void {
    const pool = this.poolsByAddress.get(address);
    if (pool === undefined) {
      return;
    }
    this.poolsByAddress.delete(address);
    void pool.close();
  }

  /**
   * Closes the pools of addresses that are no longer in use.
   * @param addresses - Addresses still in use.
   */
  retain(addresses: ReadonlySet<string>): void {
    for (const address of this.poolsByAddress.keys()) {
      if (!addresses.has(address)) {
        this.discard(address);
        this.breaksByAddress.delete(address);
      }
    }
  }

  /** Closes every connection without waiting for requests in flight. */
  async close(): Promise<void> {
    const pools = [...this.poolsByAddress.values()];
    this.poolsByAddress.clear();
    await Promise.all(pools.map((pool) => pool.destroy()));
  }
}

function createPool(address: string, onBreak: () => void): Pool {
  const connect = buildConnector({ timeout: connectTimeoutMilliseconds, allowHalfOpen: true });
  return new Pool(`http://${address}`, {
    connections: connectionsPerHost,
    // Responses to pipelined requests could arrive out of order.
    pipelining: 1,
    connect: (options, callback) => {
      connect(options, (...result) => {
        const [error, socket] = result;
        if (error === null) {
          recordBreak(socket, onBreak);
        }
        callback(...result);
      });
    },
    keepAliveTimeout: idleTimeoutMilliseconds,
    headersTimeout: 0,
    bodyTimeout: 0,
  });
}

/** Calls a function when a socket is reset or fails, rather than being ended in order. */
function recordBreak(socket: Socket, onBreak: () => void): void {
  socket.on("error", ({ syscall }: NodeJS.ErrnoException) => {
    // The HTTP client destroys sockets that were ended in order with errors of its own.
    if (syscall !== undefined) {
      onBreak();
    }
  });
  socket.on("end", () => {
    if (wasReset(socket)) {
      onBreak();
    }
    socket.end();
  });
}
