import { DaemonError } from "./DaemonError.js";

/** A call to the platform received no response, or an invalid one. */
export class PlatformUnreachableError extends DaemonError {
  readonly code = "platform-unreachable";

  constructor(value: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`platform gave no answer for value "${value}": ${reason}`, { cause });
  }
}
