import type { CapacityFigures } from "./schema.js";

/**
 * Formats the figures for a terminal, one table for each section.
 * @param figures - Figures to format.
 */
export function formatFigures(figures: CapacityFigures): string {
  return Object.entries(figures)
    .filter(([, rows]) => (rows as readonly object[]).length > 0)
    .map(([section, rows]) => `${section}\n${formatRows(rows as readonly object[])}`)
    .join("\n\n");
}

function formatRows(rows: readonly object[]): string {
  const names = Object.keys(rows[0] ?? {});
  const cells = rows.map((row) => Object.values(row).map(formatCell));
  const table = [names, ...cells];
  const widths = names.map((_name, column) =>
    Math.max(...table.map((row) => row[column]?.length ?? 0)),
  );
  return table
    .map((row) => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  "))
    .map((line) => `  ${line.trimEnd()}`)
    .join("\n");
}

function formatCell(value: unknown): string {
  return typeof value === "number" && !Number.isInteger(value) ? value.toFixed(3) : String(value);
}
