import { z } from "zod";

/** One error in a configuration file. */
export const configurationFindingSchema = z.object({
  /** `truncated` is a syntax error at the very end of a text without a final line break. */
  kind: z.enum(["size", "syntax", "truncated", "shape", "reference"]),
  /** Path in the file, as in `engines[2].zone`; empty for the file as a whole. */
  path: z.string(),
  /** Line in the file, counted from 1; absent when it is not known. */
  line: z.int().optional(),
  /** The value found, shortened; absent when the key itself is wrong or missing. */
  value: z.string().optional(),
  message: z.string(),
  /** Description of what would be accepted. */
  allowed: z.string(),
});

export type ConfigurationFinding = z.infer<typeof configurationFindingSchema>;

/** Keys and array positions that lead to a value in the parsed file. */
export type ConfigurationPath = readonly (string | number)[];

const maxShownCharacters = 80;

/**
 * Formats a path, as in `engines[2].zone`.
 * @param path - Keys and array positions.
 */
export function formatPath(path: ConfigurationPath): string {
  const parts = path.map((part) => (typeof part === "number" ? `[${String(part)}]` : `.${part}`));
  return shorten(parts.join("").replace(/^\./, ""));
}

/**
 * Formats a value for an error. Long values are shortened. Token hashes are hidden, because an
 * operator may have written the plain token in place of its hash.
 * @param path - Where the value was found.
 * @param value - Value to format.
 */
export function formatValue(path: ConfigurationPath, value: unknown): string {
  if (path.at(-1) === "tokenSha256") {
    return "(hidden)";
  }
  if (Array.isArray(value)) {
    return `an array of ${String(value.length)}`;
  }
  if (value instanceof Date) {
    return value.toISOString();
  }
  if (typeof value === "object" && value !== null) {
    return "a table";
  }
  return shorten(typeof value === "string" ? JSON.stringify(value) : String(value));
}

/**
 * Formats a finding as one line.
 * @param finding - Finding to format.
 */
export function formatFinding(finding: ConfigurationFinding): string {
  const line = finding.line === undefined ? "" : `line ${String(finding.line)}: `;
  const path = finding.path === "" ? "" : `${finding.path}: `;
  const value = finding.value === undefined ? "" : ` (found ${finding.value})`;
  return `${line}${path}${finding.message}${value}; allowed: ${finding.allowed}`;
}

/**
 * Shortens a text to the maximum length of a value in an error.
 * @param text - Text to shorten.
 */
export function shorten(text: string): string {
  return text.length <= maxShownCharacters ? text : `${text.slice(0, maxShownCharacters)}…`;
}
