/** Signals that stop a daemon or make it read its settings again. */
export type DaemonSignal = "SIGTERM" | "SIGINT" | "SIGHUP";

const signals: readonly DaemonSignal[] = ["SIGTERM", "SIGINT", "SIGHUP"];

/**
 * Keeps the signals of the process until something handles them. Without it, a signal that comes while the program is
 * loaded would end the process.
 */
export class PendingSignals {
  private readonly pending: DaemonSignal[] = [];
  private handler: (signal: DaemonSignal) => void = (signal) => {
    this.pending.push(signal);
  };

  private constructor() {
    for (const signal of signals) {
      process.on(signal, () => {
        this.handler(signal);
      });
    }
  }

  /** Creates the signals of this process, which are kept from now on. */
  static create(): PendingSignals {
    return new PendingSignals();
  }

  /**
   * Sets what handles signals from now on, and hands it those that are kept.
   * @param handler - Handles a signal.
   */
  handle(handler: (signal: DaemonSignal) => void): void {
    this.handler = handler;
    this.pending.splice(0).forEach(handler);
  }
}
