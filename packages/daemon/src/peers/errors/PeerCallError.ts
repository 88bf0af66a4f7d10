import { DaemonError } from "../../errors/index.js";

/** Base of the reasons why a call to a peer has no answer. */
export abstract class PeerCallError extends DaemonError {
  /** True when no octet of the call can have reached the peer. */
  abstract readonly isNeverSent: boolean;

  constructor(
    readonly peer: string,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
