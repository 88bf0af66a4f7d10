import { decideRetry, type AnswerMeaning, type RequestRoute } from "@pistachioway/kernel";
import { notRunStatuses } from "./ranAnswers.js";
import type { SiteRequest } from "./SiteRequest.js";

/** Attempts of a request so far, and the status of the last answer. */
export interface SiteAttempts {
  /** Number of upstreams that the request was sent to. */
  readonly sent: number;
  /** Attempts that may have run, as far as the router knows. */
  readonly runs: number;
  readonly status: number;
}

/** Maximum number of upstreams that one request is sent to. */
export const maxAttempts = 2;

/** Properties of a route that have no part in this decision, but for `isResumable`. */
const place = { name: "site", authority: "site", prefix: "/", targets: [], priority: 0 };
const flags = { isPublic: true, isSticky: false, isResumable: false };

/**
 * Decides with the kernel's code what a router does after an answer.
 * @param meaning - What the answer means.
 * @param request - The request.
 * @param attempts - Attempts of the request so far.
 * @param now - Time of the clock, in milliseconds.
 * @returns Whether the router passes the answer on, sends the request again, or tells its caller that it was not run
 *   or may have run. A status that means "not run" tells so when it is passed on.
 */
export function decideAfterAnswer(
  meaning: AnswerMeaning,
  { kind: { isIdempotent, goalMilliseconds, callerTimeoutMilliseconds }, sentAt }: SiteRequest,
  { sent, runs, status }: SiteAttempts,
  now: number,
): "passOn" | "retry" | "notRun" | "mayHaveRun" {
  if (meaning === "final") {
    return notRunStatuses.includes(status) ? "notRun" : "passOn";
  }
  const kind = isIdempotent ? "idempotent" : "nonIdempotent";
  const times = { timeoutMilliseconds: callerTimeoutMilliseconds, goalMilliseconds };
  const route: RequestRoute = { ...place, ...flags, ...times, kind, maxAttempts };
  const remainingMilliseconds = sentAt + callerTimeoutMilliseconds - now;
  const progress = { runs, refusals: sent - runs, remainingMilliseconds };
  const end = ({ refusal: "refused", unproven: "failed", foreign: "lost" } as const)[meaning];
  const decision = decideRetry(route, end, progress, () => true);
  return decision === "retry" ? decision : runs > 0 ? "mayHaveRun" : "notRun";
}
