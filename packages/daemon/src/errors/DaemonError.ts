/** Base of every error of the daemon; `code` is stable and may be matched by programs. */
export abstract class DaemonError extends Error {
  abstract readonly code: string;

  constructor(message: string, options?: ErrorOptions) {
    super(message, options);
    this.name = new.target.name;
  }
}
