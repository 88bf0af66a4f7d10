import { DaemonError } from "./DaemonError.js";

/** An error for a response of the platform whose status is neither 200 nor 304. */
export class PlatformStatusError extends DaemonError {
  readonly code = "platform-status";

  constructor(value: string, status: number) {
    super(`platform answered ${String(status)} for value "${value}"`);
  }
}
