/** A value of a log line or time line event. */
export type FieldValue = string | number | boolean;

/** The key=value pairs of one log line or time line event. */
export type Fields = Readonly<Record<string, FieldValue>>;

export type LogLevel = "error" | "warn" | "info" | "debug";

/**
 * Formats one line of key=value pairs; a value with spaces, quotes or equals signs is quoted.
 * @param fields - Pairs of the line, in order.
 */
export function formatLine(fields: Fields): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${toText(value)}`)
    .join(" ");
}

function toText(value: FieldValue): string {
  const text = String(value);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
