/** What an answer says of the request that it belongs to. */
export interface AnswerStatement {
  readonly status: number;
  /** Texts by which the answer states that its request was not run, one for each header that does. */
  readonly notRunStatements: readonly string[];
  /** Id of the request that the answer names; empty when it names none. */
  readonly answeredId: string;
  /** Id that the request was sent with; empty when it had none. */
  readonly sentId: string;
}

/**
 * What an answer means for the request that was sent:
 * - `final`: it is the answer to the request.
 * - `refusal`: the request was not run and will not be.
 * - `unproven`: it contradicts itself, or its status promises what it does not state. The request may have run.
 * - `foreign`: it does not name the request, or its status is none that an answer has. The request may have run.
 */
export type AnswerMeaning = "final" | "refusal" | "unproven" | "foreign";

/** Statuses by which a caller is told that its request was not run and will not be. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const firstSuccessStatus = 200;
const firstRedirectStatus = 300;
/** Statuses from this one on are none of HTTP. */
const firstUnknownStatus = 600;

/**
 * Gets what an answer means. This is the only place that decides which answers prove that a request was not run.
 *
 * Proof takes the request's own id, a status that means so, and exactly one statement of the upstream.
 * @param statement - What the answer says.
 */
export function getAnswerMeaning(statement: AnswerStatement): AnswerMeaning {
  const { status, notRunStatements, answeredId, sentId } = statement;
  if (sentId === "" || answeredId !== sentId || !isFinalStatus(status)) {
    return "foreign";
  }
  if (notRunStatuses.has(status)) {
    return isOneStatement(notRunStatements) ? "refusal" : "unproven";
  }
  const isSuccess = status >= firstSuccessStatus && status < firstRedirectStatus;
  return isSuccess && notRunStatements.length > 0 ? "unproven" : "final";
}

function isFinalStatus(status: number): boolean {
  return Number.isInteger(status) && status >= firstSuccessStatus && status < firstUnknownStatus;
}

function isOneStatement([text, ...others]: readonly string[]): boolean {
  return text !== undefined && text !== "" && others.length === 0;
}
