import { ActError, type ActConclusion, type ActsEffect, type Instant } from "@pistachioway/kernel";
import type { ResponseWriter } from "../callers/ResponseWriter.js";
import type { Problem } from "../errors/index.js";
import { getConclusionProblem, getRejectionProblem } from "./problems.js";

/** The effects that end a submission. */
export type SubmissionResult = Extract<
  ActsEffect,
  { kind: "answer" | "reject" | "moved" | "minted" | "adopted" }
>;

const retryAfterMilliseconds = 1_000;

/**
 * Sends the answer of an act to its caller.
 * @param result - Result of the submission.
 * @param writer - Writes the response.
 * @param now - Current time.
 * @throws Problem when the act has no answer.
 */
export function writeResult(result: SubmissionResult, writer: ResponseWriter, now: Instant): void {
  if (
    result.kind !== "answer" ||
    result.record.state !== "done" ||
    result.record.answer === undefined
  ) {
    throw getResultProblem(result, now);
  }
  const { status, headers, body } = result.record.answer;
  const fields = Object.fromEntries(headers.map(({ name, value }) => [name, value]));
  writer.sendResponse(
    status,
    { ...fields, "x-act-id": result.actId },
    Buffer.from(body),
    "complete",
  );
}

/**
 * Gets the problem that reports a submission without an answer to its caller.
 * @param result - Result of the submission.
 * @param now - Current time.
 */
export function getResultProblem(result: SubmissionResult, now: Instant): Problem {
  const retryAt = now + retryAfterMilliseconds;
  switch (result.kind) {
    case "answer":
      return getConclusionProblem(result.actId, toConclusionWithoutAnswer(result.record), retryAt);
    case "reject":
      return getRejectionProblem(result.error, retryAt);
    default: {
      const detail = `the act ended with "${result.kind}"`;
      return getRejectionProblem(new ActError("act-issuer-lost", "unknown", detail), retryAt);
    }
  }
}

/** Converts the conclusion of an act whose answer was too large to keep: its outcome is unknown. */
function toConclusionWithoutAnswer(record: ActConclusion): ActConclusion {
  return record.state === "done" ? { state: "unknown" } : record;
}
