import type { StreamLog } from "../log/StreamLog.js";
import { getMessage } from "./TaskError.js";
import type { Router } from "./Router.js";

const forcedExitCode = 3;
const cutOffExitCode = 4;

/** Ends the process of a router: by a planned stop, or as soon as every request has a response. */
export class ProcessEnd {
  private isStopping = false;

  private constructor(
    private readonly router: Router,
    private readonly log: StreamLog,
  ) {}

  /**
   * Creates the end of a router's process.
   * @param router - The router.
   * @param log - Log of the process.
   */
  static create(router: Router, log: StreamLog): ProcessEnd {
    return new ProcessEnd(router, log);
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
    this.router.endRequests();
    this.exit(forcedExitCode);
  }

  /**
   * Stops gracefully because the router cannot go on; a stop that has begun goes on as it is.
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
    this.router.stop().then(
      (isIdle) => process.exit(failureExitCode ?? (isIdle ? 0 : cutOffExitCode)),
      (error: unknown) => {
        this.log.write("error", "daemon.stop-failed", { detail: getMessage(error) });
        this.exit(failureExitCode ?? cutOffExitCode);
      },
    );
  }

  private exit(exitCode: number): void {
    void this.log.close().then(() => process.exit(exitCode));
  }
}
