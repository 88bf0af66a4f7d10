import { readTextFile } from "../files/index.js";
import { parseLogLine, type LogLine } from "./parseLogLine.js";

/** The lines of log files, the oldest first. */
export interface LogContents {
  readonly lines: readonly LogLine[];
  /** Lines that are not those of a daemon. */
  readonly passedOver: number;
}

/**
 * Reads the logs of daemons.
 * @param paths - Files, each with the lines of one daemon or more.
 * @throws FileError when one cannot be read.
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
