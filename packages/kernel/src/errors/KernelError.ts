/** Base of all errors of the kernel; `code` is stable, so that programs can match it. */
export abstract class KernelError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
