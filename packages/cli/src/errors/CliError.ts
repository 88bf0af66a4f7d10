/** Base of the errors of the command line; `code` is stable and may be matched by programs. */
export abstract class CliError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
