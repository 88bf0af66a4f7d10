import type { LimitShare } from "./LimitShare.js";
import type { PaceBounds } from "./UpstreamPace.js";

/** What the upstreams of a service tolerate while they are cold, from all daemons together. */
export interface ColdBound {
  /** Time after its start for which an upstream is cold. */
  readonly milliseconds: number;
  /** Requests a second that a cold upstream tolerates. */
  readonly requestsPerSecond: number;
  /** Factor of that rate by which it may be exceeded in any second. */
  readonly excess: number;
  /** Requests in any second beyond the rate times the factor. */
  readonly slack: number;
}

/** What one daemon may use of the rates that upstreams take after their start. */
export interface StartShare extends LimitShare {
  /** Time of the host's clock less the monotonic time, by which the slots of all daemons are aligned. */
  readonly clockOffset: number;
  /** False for a while after the daemon's start, in which it does not know how many daemons there are. */
  readonly isSettled: boolean;
  /** Undefined for a service whose upstreams take their full load at once. */
  readonly cold: ColdBound | undefined;
  /** Undefined when upstreams that start are not paced by their answers. */
  readonly pace?: PaceBounds | undefined;
}
