import { KernelError } from "../errors/index.js";

/** The revisions plug-in got another message before `start`, or a second `start`. */
export class RevisionsStartError extends KernelError {
  readonly code = "revisions-start";

  constructor(readonly messageKind: string) {
    super(
      messageKind === "start"
        ? "the revisions plug-in was started already"
        : `the revisions plug-in got "${messageKind}" before "start"`,
    );
  }
}
