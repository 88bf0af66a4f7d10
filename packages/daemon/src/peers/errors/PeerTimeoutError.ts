import { PeerCallError } from "./PeerCallError.js";

/** The peer did not answer before the deadline. */
export class PeerTimeoutError extends PeerCallError {
  readonly code = "peer-timeout";
  readonly isNeverSent = false;

  constructor(peer: string, options?: ErrorOptions) {
    super(peer, `daemon "${peer}" did not answer before the deadline`, options);
  }
}
