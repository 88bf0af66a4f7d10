import { DaemonError } from "../errors/DaemonError.js";

/** An error for a task of the process that does not go on. */
export class TaskError extends DaemonError {
  readonly code = "task-failed";

  private constructor(task: string, reason: string, cause: unknown) {
    super(`task "${task}" ${reason}`, { cause });
  }

  /**
   * Creates the error of a task that fails again and again.
   * @param task - Name of the task.
   * @param failures - Number of failures in a row.
   * @param cause - The last failure.
   */
  static createFailed(task: string, failures: number, cause: unknown): TaskError {
    return new TaskError(
      task,
      `failed ${String(failures)} times in a row: ${getMessage(cause)}`,
      cause,
    );
  }

  /**
   * Creates the error of a task that has ended before the process.
   * @param task - Name of the task.
   * @param cause - Why it ended, if it failed.
   */
  static createEnded(task: string, cause?: unknown): TaskError {
    return new TaskError(task, `has ended: ${getMessage(cause)}`, cause);
  }

  /**
   * Creates the error of a task that completes no work.
   * @param task - Name of the task.
   * @param ticks - Ticks of the process since its last completed work.
   */
  static createStalled(task: string, ticks: number): TaskError {
    return new TaskError(task, `has completed nothing for ${String(ticks)} ticks`, undefined);
  }
}

/** Gets the message of what was thrown. */
export function getMessage(cause: unknown): string {
  if (cause === undefined) {
    return "no error";
  }
  return cause instanceof Error ? cause.message : JSON.stringify(cause);
}
