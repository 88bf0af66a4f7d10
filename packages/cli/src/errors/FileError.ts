import { CliError } from "./CliError.js";

/** Thrown when a file cannot be read or written. */
export class FileError extends CliError {
  readonly code = "file";

  constructor(
    readonly path: string,
    readonly reason: string,
  ) {
    super(`file "${path}" cannot be read or written: ${reason}`);
  }
}
