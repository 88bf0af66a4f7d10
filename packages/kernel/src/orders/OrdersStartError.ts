import { KernelError } from "../errors/index.js";

/** The orders plug-in received another message before `start`, or a second `start`. */
export class OrdersStartError extends KernelError {
  readonly code = "orders-start";

  constructor(readonly messageKind: string) {
    super(
      messageKind === "start"
        ? "the orders plug-in has already been started"
        : `the orders plug-in got "${messageKind}" before "start"`,
    );
  }
}
