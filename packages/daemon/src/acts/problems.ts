import type { ActConclusion, ActError, ActErrorCode, Instant } from "@pistachioway/kernel";
import { Problem, problemStatuses, type Outcome, type ProblemName } from "../errors/index.js";
import { meansNotRun } from "./meansNotRun.js";

const problemNames: Readonly<Record<ActErrorCode, ProblemName>> = {
  "act-key-foreign": "invalid-act-key",
  "act-key-forged": "invalid-act-key",
  "act-key-expired": "act-key-expired",
  "act-key-reused": "act-mismatch",
  "act-issuer-unlisted": "act-outcome-unknown",
  "act-issuer-gone": "act-outcome-unknown",
  "act-issuer-lost": "act-outcome-unknown",
  "act-running": "act-outcome-unknown",
  "act-deadline-passed": "deadline-exceeded",
  "act-answer-not-kept": "act-outcome-unknown",
  "act-table-full": "act-table-full",
  "act-hand-over": "shutting-down",
};

/** Codes of rejections that a retry under the same key cannot change. */
const nonRetryableCodes: ReadonlySet<ActErrorCode> = new Set<ActErrorCode>([
  "act-key-foreign",
  "act-key-forged",
  "act-key-expired",
  "act-key-reused",
  "act-answer-not-kept",
  "act-issuer-gone",
]);

/**
 * Gets the problem that reports a rejected act to its caller.
 * @param error - Rejection by the kernel.
 * @param retryAt - Earliest time at which a retry may succeed.
 */
export function getRejectionProblem(error: ActError, retryAt: Instant): Problem {
  const retry = nonRetryableCodes.has(error.code) ? undefined : retryAt;
  const name = getPossibleName(problemNames[error.code], error.outcome);
  return Problem.createOfAct(name, error.message, error.outcome, retry);
}

/**
 * Gets the problem that reports an act without an answer to its caller.
 * @param actId - Id of the act.
 * @param conclusion - Conclusion of the act.
 * @param retryAt - Earliest time at which a retry may succeed.
 */
export function getConclusionProblem(
  actId: string,
  conclusion: ActConclusion,
  retryAt: Instant,
): Problem {
  if (conclusion.state === "refused") {
    const detail = `act "${actId}" did not run: ${conclusion.reason}; submit it under a new key`;
    return Problem.createOfAct("upstream-refused", detail, "not-run", retryAt);
  }
  const detail = `it is not known whether act "${actId}" ran`;
  return Problem.createOfAct("act-outcome-unknown", detail, "unknown");
}

/**
 * Gets the failure to report for an act whose key was not looked up: the act may have run under it
 * before, or may still run.
 * @param problem - Why the request was refused.
 */
export function getKeyedActProblem(problem: Problem): Problem {
  const { code, detail, retryAt } = problem;
  return Problem.create(getPossibleName(code, "unknown"), detail, "unknown", retryAt);
}

/** Gets the name of a problem whose status does not contradict the outcome. */
function getPossibleName(name: ProblemName, outcome: Outcome): ProblemName {
  const isContradiction = outcome !== "not-run" && meansNotRun(problemStatuses[name]);
  return isContradiction ? "act-outcome-unknown" : name;
}
