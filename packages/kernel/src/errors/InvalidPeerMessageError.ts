import { KernelError } from "./KernelError.js";

/** A datagram of another daemon could not be read. */
export class InvalidPeerMessageError extends KernelError {
  readonly code = "invalid-peer-message";

  constructor(readonly detail: string) {
    super(`placement message of a peer is invalid: ${detail}`);
  }
}
