/** Base class of the errors of the command line; programs can match the stable `code`. */
export abstract class CliError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
