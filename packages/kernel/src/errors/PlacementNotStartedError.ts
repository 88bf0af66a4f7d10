import { KernelError } from "./KernelError.js";

/** The placement plug-in received a message before its start message. */
export class PlacementNotStartedError extends KernelError {
  readonly code = "placement-not-started";

  constructor(readonly messageKind: string) {
    super(`placement got "${messageKind}" before "start"`);
  }
}
