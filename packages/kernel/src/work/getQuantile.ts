/**
 * Gets the largest value that at most the given part of the others lie below; undefined without values.
 * @param values - Values in any order.
 * @param quantile - From 0 to 1.
 */
export function getQuantile(values: readonly number[], quantile: number): number | undefined {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) * quantile)];
}
