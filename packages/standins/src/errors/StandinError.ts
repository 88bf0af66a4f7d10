/** Base class of the stand-ins' errors; programs may match the stable `code`. */
export abstract class StandinError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
