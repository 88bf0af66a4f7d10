import { PeerCallError } from "./PeerCallError.js";

/** The peer refused the call, or failed while it handled it. */
export class PeerRefusedError extends PeerCallError {
  readonly code = "peer-refused";
  readonly isNeverSent = false;

  constructor(
    peer: string,
    readonly reason: string,
    options?: ErrorOptions,
  ) {
    super(peer, `daemon "${peer}" refused the call: ${reason}`, options);
  }
}
