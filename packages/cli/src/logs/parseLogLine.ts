import type { TimelineEvent } from "@pistachioway/kernel";
import { Maybe } from "true-myth";
import { z } from "zod";

/** One line of a daemon's log. */
export interface LogLine {
  readonly daemon: string;
  readonly level: string;
  readonly at: number;
  readonly event: string;
  /** The remaining pairs, which describe the event. */
  readonly fields: TimelineEvent["fields"];
}

const pairPattern = /([^\s"=]+)=("(?:[^"\\]|\\.)*"|[^\s"=]+)/g;
const textSchema = z.string();

/**
 * Parses a line of key=value pairs.
 * @param text - The line; text before its first pair is skipped.
 * @returns Nothing when the line has no time, daemon or event.
 */
export function parseLogLine(text: string): Maybe<LogLine> {
  const pairs = [...text.matchAll(pairPattern)].map(
    ([, key = "", value = ""]) => [key, unquote(value)] as const,
  );
  const { at, level, event, daemon, ...fields } = Object.fromEntries(pairs);
  const instant = Date.parse(at ?? "");
  return Number.isNaN(instant) || event === undefined || daemon === undefined
    ? Maybe.nothing()
    : Maybe.just({ daemon, level: level ?? "", at: instant, event, fields: toFields(fields) });
}

function unquote(value: string): string {
  if (!value.startsWith('"')) {
    return value;
  }
  try {
    return textSchema.parse(JSON.parse(value));
  } catch {
    // A value that was truncated or written by another program is kept unparsed.
    return value;
  }
}

function toFields(texts: Readonly<Record<string, string>>): LogLine["fields"] {
  const entries = Object.entries(texts).map(
    ([key, text]) => [key, /^-?\d{1,15}(\.\d+)?$/.test(text) ? Number(text) : text] as const,
  );
  return Object.fromEntries(entries);
}
