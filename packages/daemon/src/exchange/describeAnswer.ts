import type { ResponseHead } from "@pistachioway/kernel";

/** Length up to which texts of an upstream are repeated in log lines, in characters. */
const maxTextLength = 64;

/**
 * Describes what an answer says of the request that it belongs to, for log lines.
 * @param head - Head of the answer.
 */
export function describeAnswer({ status, requestId, notRunStatements }: ResponseHead): string {
  const named = requestId === "" ? "no request" : `request "${requestId.slice(0, maxTextLength)}"`;
  const texts = notRunStatements.map((text) => `"${text}"`).join(" ");
  const stated = texts === "" ? "" : `, stating not run: ${texts.slice(0, maxTextLength)}`;
  return `status ${String(status)} for ${named}${stated}`;
}
