/**
 * What shows whether the end of a connection is the end of the answer on it:
 * - `answered`: the process that began the answer still answers on another connection;
 * - `ended`: the process has ended that connection instead of answering;
 * - `silent`: neither came in time;
 * - `replaced`: the process at the address is another one, or may be;
 * - `unreachable`: no connection could be opened;
 * - `peer`: the router that passed the answer on has looked.
 */
export type EndEvidence = "answered" | "ended" | "silent" | "replaced" | "unreachable" | "peer";

/**
 * Checks whether an answer is complete whose connection has ended. What remains in doubt is taken for a crash.
 * @param evidence - What is known of its sender.
 */
export function isCompleteBy(evidence: EndEvidence): boolean {
  return evidence === "answered" || evidence === "peer";
}
