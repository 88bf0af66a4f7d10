/** Base class of the errors of the daemon. Codes are stable, so that programs may match them. */
export abstract class DaemonError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
