import { getAnswerMeaning, type AnswerMeaning } from "@pistachioway/kernel";
import type { IncomingHttpHeaders } from "node:http";

/** The head of a response. */
export interface ResponseHead {
  readonly statusCode: number;
  readonly headers: IncomingHttpHeaders;
}

const notRunOutcome = "not-run";

/**
 * Gets what a response means for the attempt that was sent.
 * @param head - Head of the response.
 * @param attemptId - Id that the attempt was sent with.
 */
export function getResponseMeaning(
  { statusCode, headers }: ResponseHead,
  attemptId: string,
): AnswerMeaning {
  const answeredIds = getTexts(headers["x-attempt-id"]);
  return getAnswerMeaning({
    status: statusCode,
    notRunStatements: getNotRunStatements(getTexts(headers["x-outcome"])),
    answeredId: answeredIds.length === 1 ? String(answeredIds[0]) : "",
    sentId: attemptId,
  });
}

/** Gets the stated outcomes if one is `not-run`: another one beside it makes it no proof. */
function getNotRunStatements(outcomes: readonly string[]): readonly string[] {
  const texts = outcomes.flatMap((outcome) => outcome.split(",")).map((text) => text.trim());
  return texts.includes(notRunOutcome) ? texts : [];
}

function getTexts(value: string | string[] | undefined): readonly string[] {
  return value === undefined ? [] : [value].flat();
}
