/** Base of the errors of the command line; `code` is stable and may be matched by programs. */
export abstract class ToolError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
