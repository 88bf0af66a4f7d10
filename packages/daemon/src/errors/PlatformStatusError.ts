import { DaemonError } from "./DaemonError.js";

/** The platform answered with a status that carries no value. */
export class PlatformStatusError extends DaemonError {
  readonly code = "platform-status";

  constructor(value: string, status: number) {
    super(`platform answered ${String(status)} for value "${value}"`);
  }
}
