import { setTimeout as delay } from "node:timers/promises";
import type { Fields, LogLevel } from "../log/line.js";

/** A server whose requests a planned stop finishes. */
export interface StoppableServer {
  /** Accepts the connections and reads the requests that have come so far. */
  readonly readArrived: () => Promise<void>;
  /** Stops listening and ends connections without a request in flight. */
  readonly close: () => void;
  /** Resolves when no request is in flight. */
  readonly waitUntilIdle: () => Promise<void>;
  /** Responds to every request in flight, and gets their number. */
  readonly endRequests: () => number;
}

/** Dependencies of a planned stop. */
export interface PlannedStopDependencies {
  readonly servers: readonly StoppableServer[];
  /** When the stop signal may have come, which is before its handling if the process stood still. */
  readonly signalledAt: number;
  readonly graceMilliseconds: number;
  /** Whether the daemon may have reported ready; if it did not, listening ends at once. */
  readonly mayHaveBeenReady: boolean;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Time after the daemon reports not ready in which the load balancer may still send new connections. */
const unreadyDelayMilliseconds = 2_500;
/** Part of the grace period that is reserved for the exit of the process. */
const exitMarginMilliseconds = 400;
/** Time before it in which the responses to requests that still run are written. */
const responseMarginMilliseconds = 600;

/** A planned stop: until when the daemon listens, sends requests on and waits for responses. */
export class PlannedStop {
  /** When listening ends; all instants are monotonic milliseconds. */
  private readonly listeningEndsAt: number;
  /** When requests that still run are ended. */
  private readonly serviceEndsAt: number;
  /** When the process exits, even if responses are not written yet. */
  private readonly exitsAt: number;

  private constructor(private readonly dependencies: PlannedStopDependencies) {
    const { signalledAt, graceMilliseconds, mayHaveBeenReady, getNow } = dependencies;
    const startedAt = getNow();
    this.exitsAt = signalledAt + graceMilliseconds - exitMarginMilliseconds;
    this.serviceEndsAt = Math.max(startedAt, this.exitsAt - responseMarginMilliseconds);
    const unreadyDelay = mayHaveBeenReady ? unreadyDelayMilliseconds : 0;
    this.listeningEndsAt = Math.min(startedAt + unreadyDelay, this.serviceEndsAt);
  }

  /**
   * Creates a stop that begins now.
   * @param dependencies - Dependencies of the stop.
   */
  static create(dependencies: PlannedStopDependencies): PlannedStop {
    return new PlannedStop(dependencies);
  }

  /**
   * Checks whether a request whose body is complete is still sent on: once listening has ended, only
   * if its response is due before the end of service.
   * @param deadline - Deadline of the request, in monotonic milliseconds.
   */
  isServed(deadline: number): boolean {
    const now = this.dependencies.getNow();
    return now < this.listeningEndsAt || (now < deadline && deadline < this.serviceEndsAt);
  }

  /**
   * Closes the servers and waits until every request has its response.
   * @returns True when no request had to be ended before its time.
   */
  async run(): Promise<boolean> {
    const { servers } = this.dependencies;
    await this.waitUntil(this.listeningEndsAt);
    await this.readArrived();
    servers.forEach((server) => {
      server.close();
    });
    const idle = Promise.all(servers.map((server) => server.waitUntilIdle())).then(() => true);
    if (await Promise.race([idle, this.waitUntil(this.serviceEndsAt)])) {
      return true;
    }
    await this.readArrived();
    const ended = this.endRequests();
    const isIdle = await Promise.race([idle, this.waitUntil(this.exitsAt)]);
    return isIdle && ended === 0;
  }

  /**
   * Responds to every request in flight.
   * @returns Number of requests that had no complete response.
   */
  endRequests(): number {
    const counts = this.dependencies.servers.map((server) => server.endRequests());
    const ended = counts.reduce((sum, count) => sum + count, 0);
    this.dependencies.record("warn", "daemon.service-ended", { ended });
    return ended;
  }

  /** Reads what has come so far; due timers run before it when the process stood still. */
  private async readArrived(): Promise<void> {
    await Promise.all(this.dependencies.servers.map((server) => server.readArrived()));
  }

  /** Waits until an instant; resolves to false. */
  private waitUntil(instant: number): Promise<boolean> {
    return delay(Math.max(0, instant - this.dependencies.getNow()), false);
  }
}
