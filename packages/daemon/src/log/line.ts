/** A value of a field. */
export type FieldValue = string | number | boolean;

/** The fields of a log line or of a timeline event. */
export type Fields = Readonly<Record<string, FieldValue>>;

/** Severity of a log line. */
export type LogLevel = "error" | "warn" | "info" | "debug";

/** Length up to which a value is written, as texts may come from outside; in characters. */
const maxValueLength = 800;

/**
 * Formats one line of key=value pairs. Values with spaces, quotes or equals signs are quoted, and long ones are cut.
 * @param fields - Fields of the line, in order.
 */
export function formatLine(fields: Fields): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${toText(value)}`)
    .join(" ");
}

function toText(value: FieldValue): string {
  const text = String(value).slice(0, maxValueLength);
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
