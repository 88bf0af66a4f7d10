import type { Instant } from "@pistachioway/kernel";
import type { ActReport, ChatTotals, Cut } from "./observations.js";

/** Keeps what callers saw. */
export class CallerRecords {
  readonly chats: ChatTotals = {
    whole: 0,
    wrong: 0,
    unanswered: 0,
    returned: 0,
    repeatedTokens: 0,
    promptTokens: 0,
  };
  readonly problems = new Map<string, number>();
  readonly cuts: Cut[] = [];
  readonly acts: ActReport[] = [];
  private readonly inFlightByDaemon = new Map<string, number>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty ledger. */
  static create(): CallerRecords {
    return new CallerRecords();
  }

  /**
   * Gets the number of requests that a daemon has not answered.
   * @param daemon - Name of the daemon.
   */
  getInFlight(daemon: string): number {
    return this.inFlightByDaemon.get(daemon) ?? 0;
  }

  /**
   * Counts a request as sent to, or answered by, a daemon.
   * @param daemon - Name of the daemon.
   * @param change - 1 or -1.
   */
  addInFlight(daemon: string, change: 1 | -1): void {
    this.inFlightByDaemon.set(daemon, this.getInFlight(daemon) + change);
  }

  /**
   * Counts a typed failure.
   * @param name - Its type.
   */
  addProblem(name: string): void {
    this.problems.set(name, (this.problems.get(name) ?? 0) + 1);
  }

  /**
   * Adds a cut.
   * @param daemon - Name of the daemon.
   * @param at - When the caller saw it.
   * @param detail - What the caller saw.
   */
  addCut(daemon: string, at: Instant, detail: string): void {
    this.cuts.push({ daemon, at, detail });
  }
}
