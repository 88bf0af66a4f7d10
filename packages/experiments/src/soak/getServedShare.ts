import type { CallRecord } from "./schema.js";

/**
 * Gets the share of calls that were served; 0 without calls.
 * @param calls - The calls.
 */
export function getServedShare(calls: readonly CallRecord[]): number {
  const served = calls.filter(({ status, isWhole }) => status === 200 && isWhole);
  return served.length / Math.max(1, calls.length);
}
