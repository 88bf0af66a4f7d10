/** Base of every error of the experiments; `code` is stable and may be matched by programs. */
export abstract class ExperimentError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
