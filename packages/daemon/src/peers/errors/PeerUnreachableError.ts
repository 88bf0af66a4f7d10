import { PeerCallError } from "./PeerCallError.js";

/** No connection to the peer could be opened. */
export class PeerUnreachableError extends PeerCallError {
  readonly code = "peer-unreachable";
  readonly isNeverSent = true;

  constructor(peer: string, options?: ErrorOptions) {
    super(peer, `daemon "${peer}" cannot be reached`, options);
  }
}
