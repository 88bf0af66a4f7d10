import { DaemonError } from "./DaemonError.js";

/** An error that is thrown when the platform responds with a status other than success. */
export class PlatformStatusError extends DaemonError {
  readonly code = "platform-status";

  constructor(value: string, status: number) {
    super(`platform answered ${String(status)} for value "${value}"`);
  }
}
