import type { ActiveRequestOutcome } from "./ActiveRequestReport.js";
import type { RefusalName } from "./refusals.js";

/** Why a request in flight is ended before it is answered. */
export interface TimeLimit {
  /** Refusal of a request that has certainly not run. */
  readonly notRunName: RefusalName;
  /** Outcome of a response that has begun. */
  readonly cutOutcome: ActiveRequestOutcome;
  readonly detail: string;
}

/** The request's own deadline. */
export const requestDeadline: TimeLimit = {
  notRunName: "not-run-in-time",
  cutOutcome: "cut-at-deadline",
  detail: "the time for the request is over",
};

/** The end of service in a planned stop. */
export const endOfService: TimeLimit = {
  notRunName: "daemon-stopping",
  cutOutcome: "cut-at-stop",
  detail: "the daemon stops",
};
