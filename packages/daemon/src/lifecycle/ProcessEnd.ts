import type { StreamLog } from "../log/StreamLog.js";
import { exitCodes } from "./exitCodes.js";
import { getMessage } from "./TaskError.js";

/** A daemon as the end of its process knows it. */
export interface StoppableDaemon {
  /** Stops gracefully; the result is true when no request was ended before its time. */
  readonly stop: () => Promise<boolean>;
  /** Responds to every request in flight at once. */
  readonly endRequests: () => void;
}

/** Log that the end of a process writes to, and closes. */
export type ProcessLog = Pick<StreamLog, "write" | "close">;

/** Ends the process of a daemon: by a planned stop, or as soon as every request has a response. */
export class ProcessEnd {
  private isStopping = false;

  private constructor(
    private readonly daemon: StoppableDaemon,
    private readonly log: ProcessLog,
  ) {}

  /**
   * Creates the end of a daemon's process.
   * @param daemon - The daemon.
   * @param log - Log of the process.
   */
  static create(daemon: StoppableDaemon, log: ProcessLog): ProcessEnd {
    return new ProcessEnd(daemon, log);
  }

  /**
   * Stops gracefully at the first signal, and at a second one as soon as every request has a response.
   * @param signal - The signal.
   */
  handleSignal(signal: NodeJS.Signals): void {
    if (!this.isStopping) {
      this.stop();
      return;
    }
    this.log.write("error", "daemon.forced-stop", { signal });
    this.daemon.endRequests();
    this.exit(exitCodes.forced);
  }

  /**
   * Stops gracefully because the daemon cannot go on; a stop that has begun goes on as it is.
   * @param event - Event of the log line.
   * @param error - Why it cannot go on.
   * @param exitCode - Exit code of the process.
   */
  fail(event: string, { message }: Error, exitCode: number): void {
    this.log.write("error", event, { detail: message });
    if (!this.isStopping) {
      this.stop(exitCode);
    }
  }

  private stop(failureExitCode?: number): void {
    this.isStopping = true;
    this.daemon.stop().then(
      (isIdle) => process.exit(failureExitCode ?? (isIdle ? 0 : exitCodes.cutOff)),
      (error: unknown) => {
        this.log.write("error", "daemon.stop-failed", { detail: getMessage(error) });
        this.exit(failureExitCode ?? exitCodes.cutOff);
      },
    );
  }

  private exit(exitCode: number): void {
    void this.log.close().then(() => process.exit(exitCode));
  }
}
