import { ToolError } from "./ToolError.js";

/** A file that cannot be read or written. */
export class FileError extends ToolError {
  readonly code = "file";

  constructor(
    readonly path: string,
    readonly reason: string,
  ) {
    super(`file "${path}" cannot be used: ${reason}`);
  }
}
