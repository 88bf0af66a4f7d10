import { KernelError } from "./KernelError.js";

/** A placement message from another daemon could not be decoded. */
export class InvalidPeerMessageError extends KernelError {
  readonly code = "invalid-peer-message";

  constructor(readonly detail: string) {
    super(`placement message of a peer is invalid: ${detail}`);
  }
}
