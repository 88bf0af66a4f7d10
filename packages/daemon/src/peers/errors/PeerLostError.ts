import { PeerCallError } from "./PeerCallError.js";

/** The connection broke before the whole answer arrived. */
export class PeerLostError extends PeerCallError {
  readonly code = "peer-lost";
  readonly isNeverSent = false;

  constructor(peer: string, options?: ErrorOptions) {
    super(peer, `daemon "${peer}" closed the connection before its answer`, options);
  }
}
