import { DaemonError } from "./DaemonError.js";

/** An error for a call of the platform that got no response, or an unreadable one. */
export class PlatformUnreachableError extends DaemonError {
  readonly code = "platform-unreachable";

  constructor(value: string, cause: unknown) {
    const reason = cause instanceof Error ? cause.message : String(cause);
    super(`platform gave no answer for value "${value}": ${reason}`, { cause });
  }
}
