import type { TimelineEvent } from "@pistachioway/kernel";
import { formatTable } from "../text/index.js";
import type { MergedEvent } from "./mergeEvents.js";

/**
 * Formats events as aligned lines, the oldest first.
 * @param events - Merged events.
 */
export function formatEvents(events: readonly MergedEvent[]): string {
  return formatTable(
    ["TIME", "LOGICAL", "PROCESS", "EVENT", "FIELDS"],
    events.map((event) => [
      formatInstant(event.at),
      event.logical,
      event.process,
      event.name,
      formatFields(event.fields),
    ]),
  );
}

/**
 * Formats fields as key=value pairs; values with spaces or quotes are quoted.
 * @param fields - Fields of an event.
 */
export function formatFields(fields: TimelineEvent["fields"]): string {
  return Object.entries(fields)
    .map(([key, value]) => `${key}=${quoteIfNeeded(String(value))}`)
    .join(" ");
}

/**
 * Formats an instant in UTC, to the millisecond.
 * @param at - Instant, in milliseconds since the Unix epoch.
 */
export function formatInstant(at: number): string {
  const date = new Date(at);
  return Number.isNaN(date.getTime()) ? String(at) : date.toISOString();
}

function quoteIfNeeded(text: string): string {
  return /^[^\s"=]+$/.test(text) ? text : JSON.stringify(text);
}
