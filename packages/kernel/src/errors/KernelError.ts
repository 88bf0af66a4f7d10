/** Base of every error of the kernel; `code` is stable and may be matched by programs. */
export abstract class KernelError extends Error {
  abstract readonly code: string;

  constructor(message: string) {
    super(message);
    this.name = new.target.name;
  }
}
