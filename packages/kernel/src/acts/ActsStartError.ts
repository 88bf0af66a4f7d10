import { KernelError } from "../errors/index.js";

/** The acts plug-in received another message before `start`, or a second `start`. */
export class ActsStartError extends KernelError {
  readonly code = "acts-start";

  constructor(readonly messageKind: string) {
    super(
      messageKind === "start"
        ? "the acts plug-in was started already; an incarnation starts once"
        : `the acts plug-in got "${messageKind}" before "start"`,
    );
  }
}
