import {
  retriesPlugin,
  type FailureMessage,
  type Instant,
  type Kernel,
  type RetriesEffect,
  type RetryGuard,
} from "@pistachioway/kernel";

/** A failed attempt. */
export type FailedAttempt = Omit<FailureMessage, "kind">;

/** Runs the retries plug-in. */
export class RetryTask {
  private constructor(
    private readonly kernel: Kernel,
    private readonly getNow: () => Instant,
    private readonly disabledGuards: readonly RetryGuard[],
  ) {}

  /**
   * Creates the task.
   * @param kernel - Kernel that holds the plug-in's state.
   * @param getNow - Reads the clock.
   * @param disabledGuards - Guards that a test switches off.
   */
  static create(
    kernel: Kernel,
    getNow: () => Instant,
    disabledGuards: readonly RetryGuard[],
  ): RetryTask {
    return new RetryTask(kernel, getNow, disabledGuards);
  }

  /**
   * Sets the retry budget.
   * @param budgetRatio - Retries allowed per request.
   */
  configure(budgetRatio: number): void {
    const { disabledGuards } = this;
    const message = { kind: "configure" as const, budgetRatio, disabledGuards };
    this.kernel.send(retriesPlugin, message, this.getNow());
  }

  /**
   * Runs the attempts of a request; what is kept of its failures ends with them.
   * @param requestId - Id of the request.
   * @param runAttempts - Runs the attempts until the request has its answer or no further attempt.
   */
  async run<Result>(requestId: string, runAttempts: () => Promise<Result>): Promise<Result> {
    this.start(requestId);
    try {
      return await runAttempts();
    } finally {
      this.finish(requestId);
    }
  }

  /**
   * Reports the first attempt of a request whose end `finish` reports.
   * @param requestId - Id of the request.
   */
  start(requestId: string): void {
    this.kernel.send(retriesPlugin, { kind: "start", requestId }, this.getNow());
  }

  /**
   * Reports the end of a request.
   * @param requestId - Id of the request.
   */
  finish(requestId: string): void {
    this.kernel.send(retriesPlugin, { kind: "done", requestId }, this.getNow());
  }

  /**
   * Decides whether a failed attempt is retried.
   * @param attempt - Attempt that failed.
   */
  decide(attempt: FailedAttempt): RetriesEffect {
    const message: FailureMessage = { ...attempt, kind: "failed" };
    const [effect] = this.kernel.send(retriesPlugin, message, this.getNow());
    if (effect === undefined) {
      throw new TypeError(`no decision for failed request "${attempt.requestId}"`);
    }
    return effect;
  }
}
