/**
 * Formats rows as aligned columns below a heading; numbers are aligned to the right.
 * @param headings - Headings of the columns.
 * @param rows - Rows, each a list of cells.
 */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const widths = headings.map((heading, column) =>
    Math.max(heading.length, ...rows.map((row) => getText(row[column]).length)),
  );
  const lines = rows.map((row) => formatRow(row, widths));
  return [formatRow(headings, widths), ...lines].join("\n");
}

function formatRow(row: readonly (string | number)[], widths: readonly number[]): string {
  const cells = widths.map((width, column) => {
    const text = getText(row[column]);
    return typeof row[column] === "number" ? text.padStart(width) : text.padEnd(width);
  });
  return cells.join("  ").trimEnd();
}

function getText(cell: string | number | undefined): string {
  return typeof cell === "number" ? formatNumber(cell) : toPrintable(cell ?? "");
}

/**
 * Formats a number with at most two decimals.
 * @param value - Number to format.
 */
export function formatNumber(value: number): string {
  return Number.isInteger(value) ? String(value) : value.toFixed(2);
}

/**
 * Replaces control characters, so that text from a daemon cannot send escape
 * sequences to the terminal.
 * @param text - Text to print.
 */
export function toPrintable(text: string): string {
  return text.replace(/\p{Cc}/gu, "\uFFFD");
}
