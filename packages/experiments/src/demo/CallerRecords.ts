import type { Instant } from "@pistachioway/kernel";
import type { ActReport, ChatTotals, Cut } from "./observations.js";

/** Records the answers, failures and broken connections that callers received. */
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

  /** Creates empty records. */
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
   * Changes the number of requests that a daemon has not answered.
   * @param daemon - Name of the daemon.
   * @param change - 1 when a request is sent, -1 when it has ended.
   */
  addInFlight(daemon: string, change: 1 | -1): void {
    this.inFlightByDaemon.set(daemon, this.getInFlight(daemon) + change);
  }

  /**
   * Counts a typed failure.
   * @param name - Type of the failure.
   */
  addProblem(name: string): void {
    this.problems.set(name, (this.problems.get(name) ?? 0) + 1);
  }

  /**
   * Adds a request whose connection broke or whose answer was incomplete.
   * @param daemon - Name of the daemon.
   * @param at - Time at which the caller noticed it.
   * @param detail - Error or failure that the caller received.
   */
  addCut(daemon: string, at: Instant, detail: string): void {
    this.cuts.push({ daemon, at, detail });
  }
}
