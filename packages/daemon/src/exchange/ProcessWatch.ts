import { setTimeout as delay } from "node:timers/promises";
import { LivenessConnection, type HealthRequest } from "./LivenessConnection.js";
import type { EndEvidence } from "./EndEvidence.js";

/** What the watch of the process at one address depends on. */
export interface ProcessWatchOptions {
  /** IPv4 address and port. */
  readonly address: string;
  readonly request: HealthRequest;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
}

/** Times at which an answer came, in monotonic milliseconds. */
export interface AnswerTimes {
  /** When its head was read. */
  readonly startedAt: number;
  /** Earliest instant at which its connection may have ended. */
  readonly earliestEnd: number;
}

/** Longest time that passes between the ends of two connections of a process that ends. */
const endingMilliseconds = 250;
/** Shortest time between two connections that are opened for the same watch. */
const reopenMilliseconds = 250;
/** Tries to open a connection for a check; a full queue of the other side may drop one. */
const maxConnectTries = 2;

/**
 * Watches the process at one address, while it sends answers whose end only it can vouch for. Holds one connection for all
 * of these answers, and opens another one when that ends.
 */
export class ProcessWatch {
  private connection: LivenessConnection;
  private userCount = 0;
  /** When the other side last ended a connection. */
  private endedAt = -Infinity;
  private openedAt = -Infinity;

  private constructor(private readonly options: ProcessWatchOptions) {
    this.connection = this.open();
  }

  /**
   * Starts to watch the process at an address.
   * @param options - What the watch depends on.
   */
  static start(options: ProcessWatchOptions): ProcessWatch {
    return new ProcessWatch(options);
  }

  /** Adds an answer that needs the watch. */
  addUser(): void {
    this.userCount += 1;
  }

  /**
   * Removes an answer.
   * @returns True if it was the last one; the watch has ended then.
   */
  removeUser(): boolean {
    this.userCount -= 1;
    if (this.userCount === 0) {
      this.connection.close();
    }
    return this.userCount === 0;
  }

  /**
   * Finds out whether the process that began an answer goes on after the end of its connection.
   * @param times - When the answer came.
   * @param isExpected - Checks whether a health answer is that of the upstream.
   */
  async check(
    times: AnswerTimes,
    isExpected: (headers: Readonly<Record<string, string | string[] | undefined>>) => boolean,
  ): Promise<EndEvidence> {
    const connection = await this.getOpenConnection();
    if (connection === undefined) {
      // A watch without users has closed its connection itself.
      return this.userCount > 0 ? "unreachable" : "ended";
    }
    if (this.mayBeReplaced(connection, times)) {
      return "replaced";
    }
    const answer = await connection.ask();
    if (answer.kind !== "answered") {
      return answer.kind;
    }
    return isExpected(answer.headers) ? "answered" : "replaced";
  }

  /**
   * Checks whether the process at the other end of a connection may be another one than the one that began an answer: an
   * earlier connection has ended while the answer came, and this one was not open long enough before the answer's end.
   */
  private mayBeReplaced(
    { connectedAt = Infinity }: LivenessConnection,
    { startedAt, earliestEnd }: AnswerTimes,
  ): boolean {
    return this.endedAt >= startedAt && connectedAt > earliestEnd - endingMilliseconds;
  }

  private async getOpenConnection(): Promise<LivenessConnection | undefined> {
    for (let tries = 0; tries < maxConnectTries; tries += 1) {
      const { connection } = this;
      await connection.settled;
      if (connection.isOpen()) {
        return connection;
      }
      if (this.userCount === 0) {
        return undefined;
      }
      if (this.connection === connection) {
        this.connection = this.open();
      }
    }
    await this.connection.settled;
    return this.connection.isOpen() ? this.connection : undefined;
  }

  private open(): LivenessConnection {
    this.openedAt = this.options.getNow();
    return LivenessConnection.open({
      ...this.options,
      onClosed: (connection) => {
        void this.handleClosed(connection);
      },
    });
  }

  private async handleClosed(connection: LivenessConnection): Promise<void> {
    const { getNow } = this.options;
    if (connection.wasEndedByOtherSide) {
      this.endedAt = getNow();
    }
    await delay(Math.max(0, this.openedAt + reopenMilliseconds - getNow()));
    if (this.userCount > 0 && this.connection === connection) {
      this.connection = this.open();
    }
  }
}
