import { readTextFile } from "../files/index.js";
import { parseLogLine, type LogLine } from "./parseLogLine.js";

/** The lines of log files, ordered by time. */
export interface LogContents {
  readonly lines: readonly LogLine[];
  /** Number of skipped lines, which no daemon wrote. */
  readonly passedOver: number;
}

/**
 * Reads the logs of daemons.
 * @param paths - Log files, each written by one or more daemons.
 * @throws FileError when a file cannot be read.
 */
export async function readLogs(paths: readonly string[]): Promise<LogContents> {
  const texts = await Promise.all(paths.map(readTextFile));
  const rows = texts.flatMap((text) => text.split("\n").filter((row) => row.trim() !== ""));
  const lines = rows.flatMap((row) => parseLogLine(row).mapOr<LogLine[]>([], (line) => [line]));
  return {
    lines: lines.sort((a, b) => a.at - b.at),
    passedOver: rows.length - lines.length,
  };
}
