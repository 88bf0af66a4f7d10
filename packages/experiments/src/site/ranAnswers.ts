import type { AnswerStatement } from "@pistachioway/kernel";
import type { Random } from "../bench/Random.js";

/** How often upstreams answer a request that they ran as if it had not run. */
export interface AnswerFaults {
  /** Ratio of answers whose status means "not run" and that do not state it. */
  readonly unstatedRatio: number;
  /** Ratio of answers that state "not run" and name another request or none. */
  readonly strayRatio: number;
}

/** Statuses by which a caller is told that its request was not run. */
export const notRunStatuses: readonly number[] = [503, 429, 408, 421];
const successStatus = 200;
const unavailableStatus = 503;
const statements = ["not-run"];

/**
 * Creates the answer to a request that an upstream did not run.
 * @param id - Id of the request.
 */
export function createRefusal(id: string): AnswerStatement {
  const ids = { answeredId: id, sentId: id };
  return { status: unavailableStatus, notRunStatements: statements, ...ids };
}

/**
 * Creates the answer to a request that an upstream ran.
 * @param random - Draws whether the answer is faulty, and how.
 * @param faults - How often answers are faulty.
 * @param sentId - Id of the request.
 */
export function createRanAnswer(
  random: Random,
  { unstatedRatio, strayRatio }: AnswerFaults,
  sentId: string,
): AnswerStatement {
  const draw = random.getUniform();
  const isFaulty = draw < unstatedRatio + strayRatio;
  const isStray = isFaulty && draw >= unstatedRatio;
  const notRunStatus = notRunStatuses[random.getIndex(notRunStatuses.length)] ?? unavailableStatus;
  const otherId = ["", `other-than-${sentId}`][random.getIndex(2)] ?? "";
  return {
    status: isFaulty ? notRunStatus : successStatus,
    notRunStatements: isStray ? statements : [],
    answeredId: isStray ? otherId : sentId,
    sentId,
  };
}
