import { KernelError } from "../errors/index.js";

/** The orders plug-in got another message before `start`, or a second `start`. */
export class OrdersStartError extends KernelError {
  readonly code = "orders-start";

  constructor(readonly messageKind: string) {
    super(
      messageKind === "start"
        ? "the orders plug-in was started already"
        : `the orders plug-in got "${messageKind}" before "start"`,
    );
  }
}
