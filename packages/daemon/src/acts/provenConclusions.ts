import type { ActConclusion, ActTable, ForwardResult } from "@pistachioway/kernel";
import { meansNotRun } from "./meansNotRun.js";

/**
 * Gets the result of a forward with a proven conclusion only.
 * @param result - Result as the other daemon states it.
 */
export function getProvenResult(result: ForwardResult): ForwardResult {
  return result.kind === "answered"
    ? { kind: "answered", record: getProvenConclusion(result.record) }
    : result;
}

/**
 * Gets the table of acts that another daemon hands over, with proven conclusions only.
 * @param table - Table as the other daemon states it.
 */
export function getProvenTable(table: ActTable): ActTable {
  const acts = table.acts.map((act) => {
    return { ...act, conclusion: getProvenConclusion(act.conclusion) };
  });
  return { ...table, acts };
}

/**
 * Gets the conclusion of an act that another daemon has sent. An earlier build concludes an act by
 * any answer, also one whose status means that it did not run; its outcome is then unknown.
 */
function getProvenConclusion(conclusion: ActConclusion): ActConclusion {
  if (conclusion.state !== "done" || conclusion.answer === undefined) {
    return conclusion;
  }
  return meansNotRun(conclusion.answer.status) ? { state: "unknown" } : conclusion;
}
