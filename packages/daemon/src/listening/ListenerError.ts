import { DaemonError } from "../errors/DaemonError.js";
import type { Listener } from "./Listener.js";

/** An error for a listener that could not listen in the time that a start has. */
export class ListenerError extends DaemonError {
  readonly code = "listener-failed";

  private constructor({ name, address }: Listener, reason: string, cause: unknown) {
    super(`listener "${name}" cannot listen on "${address}": ${reason}`, { cause });
  }

  /**
   * Creates the error.
   * @param listener - The listener.
   * @param cause - Error of the last attempt.
   */
  static create(listener: Listener, cause: unknown): ListenerError {
    return new ListenerError(listener, getReason(cause), cause);
  }
}

/** Gets the code of a system error, else its message. */
export function getReason(error: unknown): string {
  if (!(error instanceof Error)) {
    return String(error);
  }
  return "code" in error ? String(error.code) : error.message;
}
