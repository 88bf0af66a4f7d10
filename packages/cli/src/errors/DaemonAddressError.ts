import { CliError } from "./CliError.js";

/** Thrown when a daemon's address is not an IPv4 address with a port. */
export class DaemonAddressError extends CliError {
  readonly code = "daemon-address";

  constructor(readonly address: string) {
    super(`daemon "${address}" is not an IPv4 address and a port, as in 127.0.0.1:9100`);
  }
}
