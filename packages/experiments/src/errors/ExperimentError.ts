/** Base class of the errors of this package; `code` is stable, so programs may match it. */
export abstract class ExperimentError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
