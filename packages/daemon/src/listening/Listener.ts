/** A socket of a daemon. It can be told to listen again when it could not. */
export interface Listener {
  /** Name for logs, metrics and errors. */
  readonly name: string;
  /** IPv4 address and port. */
  readonly address: string;
  /** False if the daemon serves without it. */
  readonly isNeeded: boolean;
  /** Starts to listen; rejects when that is impossible now. */
  readonly listen: () => Promise<void>;
}
