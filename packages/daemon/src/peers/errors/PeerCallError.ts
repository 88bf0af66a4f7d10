import { DaemonError } from "../../errors/index.js";

/** Base class of the errors of calls to a peer. */
export abstract class PeerCallError extends DaemonError {
  /** True when no byte of the call can have reached the peer. */
  abstract readonly isNeverSent: boolean;

  constructor(
    readonly peer: string,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}
