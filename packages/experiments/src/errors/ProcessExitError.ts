import { ExperimentError } from "./ExperimentError.js";

/** How a process ended: the exit code or the signal is null. */
export interface ProcessEnd {
  readonly exitCode: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A process exited before it was ready. */
export class ProcessExitError extends ExperimentError {
  readonly code = "process-exit";

  constructor(
    readonly processName: string,
    readonly end: ProcessEnd,
    readonly output: string,
  ) {
    super(`process "${processName}" exited before it was ready, ${formatEnd(end)}: ${output}`);
  }
}

/**
 * Formats the end of a process for messages.
 * @param end - Exit code or signal.
 */
export function formatEnd({ exitCode, signal }: ProcessEnd): string {
  return signal === null ? `exit code ${String(exitCode)}` : `ended by ${signal}`;
}
