import { getAnswerMeaning } from "@pistachioway/kernel";

/**
 * Checks whether a status tells that an act did not run; it is then no answer of an act that ran.
 * @param status - HTTP status.
 */
export function meansNotRun(status: number): boolean {
  const sentId = "act";
  const answer = { status, notRunStatements: [], answeredId: sentId, sentId };
  return getAnswerMeaning(answer) !== "final";
}
