import { PeerCallError } from "./PeerCallError.js";

/** The answer does not carry the right authentication code. */
export class PeerForgedError extends PeerCallError {
  readonly code = "peer-forged";
  readonly isNeverSent = false;

  constructor(peer: string, options?: ErrorOptions) {
    super(peer, `daemon "${peer}" gave an answer with a wrong authentication code`, options);
  }
}
