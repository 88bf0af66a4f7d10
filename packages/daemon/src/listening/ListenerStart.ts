import { setTimeout as delay } from "node:timers/promises";
import type { Fields, LogLevel } from "../log/line.js";
import { getReason, ListenerError } from "./ListenerError.js";
import type { Listener } from "./Listener.js";

/** What a start depends on. */
export interface ListenerStartDependencies {
  /** Listeners in the order in which they are first tried. */
  readonly listeners: readonly Listener[];
  /** When the start fails if a needed listener does not listen, in monotonic milliseconds. */
  readonly deadline: number;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  /** Counts the attempts by result. */
  readonly onAttempt: (listener: string, result: "ok" | "failed") => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** A listener, and how often it was tried. */
interface Attempts {
  readonly listener: Listener;
  count: number;
  isListening: boolean;
  /** Error of the last attempt. */
  error: unknown;
}

const retryIntervalMilliseconds = 250;

/**
 * Opens the listeners of a daemon. An address that cannot be used yet is tried again: a needed one until a deadline,
 * another one until the daemon stops.
 */
export class ListenerStart {
  private readonly attempts: readonly Attempts[];
  private readonly stopped = new AbortController();
  private readonly pending = new Set<Promise<void>>();

  private constructor(private readonly dependencies: ListenerStartDependencies) {
    this.attempts = dependencies.listeners.map((listener) => ({
      listener,
      count: 0,
      isListening: false,
      error: undefined,
    }));
  }

  /**
   * Creates a start that has tried nothing.
   * @param dependencies - What the start depends on.
   */
  static create(dependencies: ListenerStartDependencies): ListenerStart {
    return new ListenerStart(dependencies);
  }

  /**
   * Opens the listeners. Resolves when all needed ones listen, or when the start is stopped.
   * @throws ListenerError for the first needed listener that cannot listen until the deadline.
   */
  async run(): Promise<void> {
    for (const attempts of this.attempts) {
      await this.tryOnce(attempts);
    }
    const retries = this.attempts.map((attempts) => this.retry(attempts));
    await Promise.all(retries.filter((_, index) => this.isNeeded(index)));
  }

  /** Checks whether all needed listeners listen. */
  isComplete(): boolean {
    return this.attempts.every(({ listener, isListening }) => isListening || !listener.isNeeded);
  }

  /** Gets the addresses that are listened on, by name of the listener. */
  getAddresses(): Readonly<Record<string, string>> {
    const listening = this.attempts.filter(({ isListening }) => isListening);
    return Object.fromEntries(listening.map(({ listener: { name, address } }) => [name, address]));
  }

  /** Gets the number of attempts so far. */
  getAttemptCount(): number {
    return this.attempts.reduce((sum, { count }) => sum + count, 0);
  }

  /** Ends the attempts; resolves when none is under way. */
  async stop(): Promise<void> {
    this.stopped.abort();
    await Promise.all(this.pending);
  }

  private isNeeded(index: number): boolean {
    return this.attempts[index]?.listener.isNeeded === true;
  }

  private async retry(attempts: Attempts): Promise<void> {
    const { listener } = attempts;
    const { signal } = this.stopped;
    while (!attempts.isListening && !signal.aborted) {
      if (listener.isNeeded && this.dependencies.getNow() >= this.dependencies.deadline) {
        throw ListenerError.create(listener, attempts.error);
      }
      await delay(retryIntervalMilliseconds, undefined, { signal }).catch(() => undefined);
      await this.tryOnce(attempts);
    }
  }

  private async tryOnce(attempts: Attempts): Promise<void> {
    if (this.stopped.signal.aborted) {
      return;
    }
    const attempt = this.listen(attempts);
    this.pending.add(attempt);
    await attempt;
    this.pending.delete(attempt);
  }

  private async listen(attempts: Attempts): Promise<void> {
    const { listener } = attempts;
    attempts.count += 1;
    try {
      await listener.listen();
      attempts.isListening = true;
      this.recordSuccess(attempts);
    } catch (error) {
      this.recordFailure(attempts, error);
      attempts.error = error;
    }
  }

  private recordSuccess({ listener, count }: Attempts): void {
    this.dependencies.onAttempt(listener.name, "ok");
    if (count > 1) {
      const { name, address } = listener;
      this.dependencies.record("info", "listener.opened", {
        listener: name,
        address,
        attempt: count,
      });
    }
  }

  /** Logs a failure if its reason is new, else those whose number is a power of two. */
  private recordFailure({ listener, count, error: before }: Attempts, error: unknown): void {
    const { name, address } = listener;
    const reason = getReason(error);
    this.dependencies.onAttempt(name, "failed");
    if (before === undefined || getReason(before) !== reason || isPowerOfTwo(count)) {
      const fields = { listener: name, address, error: reason, attempt: count };
      this.dependencies.record("warn", "listener.refused", fields);
    }
  }
}

function isPowerOfTwo(count: number): boolean {
  return Number.isInteger(Math.log2(count));
}
