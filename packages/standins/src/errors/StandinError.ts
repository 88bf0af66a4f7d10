/** Base of every error of the stand-ins; `code` is stable and may be matched by programs. */
export abstract class StandinError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
