import type { MergedEvent } from "../timeline/index.js";
import type { LogLine } from "./parseLogLine.js";

/**
 * Turns log lines into events of the time line, in the order of the lines.
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
