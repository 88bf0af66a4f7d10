import { explainOutcome } from "./explainOutcome.js";
import type { LogLine } from "./parseLogLine.js";

/** Why a request ended as it did, and the lines that show it. */
export interface RequestExplanation {
  readonly request: string;
  /** What became of it, in a word. */
  readonly outcome: string;
  /** Why, in a sentence. */
  readonly cause: string;
  /** Where to look next. */
  readonly advice: string;
  /** Lines of the request itself. */
  readonly own: readonly LogLine[];
  /** Lines near in time that tell of what it depended on. */
  readonly related: readonly LogLine[];
  /** Other requests that failed at its upstream near in time, and the routers that saw it. */
  readonly failuresAtUpstream: number;
  readonly routersThatSawThem: number;
}

/** Lines within this time of the request's are related, before and after. */
const relatedWindowMilliseconds = 5_000;

/**
 * Explains a request by the lines of the routers' logs.
 * @param lines - Lines of all routers, the oldest first.
 * @param request - Id of the request.
 * @returns Undefined when no line names the request.
 */
export function explainRequest(
  lines: readonly LogLine[],
  request: string,
): RequestExplanation | undefined {
  const own = lines.filter(({ fields }) => String(fields.request) === request);
  const last = own.at(-1);
  if (last === undefined) {
    return undefined;
  }
  const upstream = getText(last, "upstream");
  const nearby = getNearbyLines(lines, own);
  const failures = nearby.filter(
    (line) => !own.includes(line) && isFailureAt(line, upstream) && upstream !== "-",
  );
  return {
    request,
    outcome: getText(last, "outcome", getText(last, "reason", last.event)),
    ...explainOutcome(last),
    own,
    related: nearby.filter((line) => isRelated(line, last.daemon, upstream)),
    failuresAtUpstream: failures.length,
    routersThatSawThem: new Set(failures.map(({ daemon }) => daemon)).size,
  };
}

/**
 * Gets a field of a line as text.
 * @param line - Line to read.
 * @param name - Name of the field.
 * @param fallback - What to return where the line lacks it.
 */
export function getText(line: LogLine, name: string, fallback = "-"): string {
  const value = line.fields[name];
  return value === undefined ? fallback : String(value);
}

function getNearbyLines(lines: readonly LogLine[], own: readonly LogLine[]): readonly LogLine[] {
  const from = (own[0]?.at ?? 0) - relatedWindowMilliseconds;
  const until = (own.at(-1)?.at ?? 0) + relatedWindowMilliseconds;
  return lines.filter(({ at }) => at >= from && at <= until);
}

function isFailureAt(line: LogLine, upstream: string): boolean {
  const isAnswered = ["answered", "abandoned"].includes(getText(line, "outcome"));
  return line.event === "request.finished" && getText(line, "upstream") === upstream && !isAnswered;
}

/** Tells whether a line tells of the request's upstream, or of what its router depended on. */
function isRelated(line: LogLine, daemon: string, upstream: string): boolean {
  if (line.event.startsWith("upstream.")) {
    return getText(line, "upstream", "") === upstream;
  }
  const isOfRouter = ["registry.", "configuration.", "daemon."].some((prefix) =>
    line.event.startsWith(prefix),
  );
  return isOfRouter && line.daemon === daemon;
}
