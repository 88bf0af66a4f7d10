import type { MergedEvent } from "../timeline/index.js";
import type { LogLine } from "./parseLogLine.js";

/**
 * Converts log lines to timeline events, in the same order.
 * @param lines - Lines of all daemons, the oldest first.
 */
export function toEvents(lines: readonly LogLine[]): MergedEvent[] {
  return lines.map(({ daemon, at, event, fields }, sequence) => ({
    process: daemon,
    incarnation: "",
    sequence,
    at,
    logical: 0,
    name: event,
    fields,
  }));
}
