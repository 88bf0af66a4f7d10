import { explainOutcome } from "./explainOutcome.js";
import type { LogLine } from "./parseLogLine.js";

/** The explanation of a request's outcome, and the log lines it is based on. */
export interface RequestExplanation {
  readonly request: string;
  /** Name of the outcome or refusal reason. */
  readonly outcome: string;
  /** Cause of the outcome, in a sentence. */
  readonly cause: string;
  /** What to check next. */
  readonly advice: string;
  /** Lines of the request itself. */
  readonly own: readonly LogLine[];
  /** Lines near in time about its upstream, or about its router's registry, configuration or process. */
  readonly related: readonly LogLine[];
  /** Number of other requests that failed at its upstream near in time. */
  readonly failuresAtUpstream: number;
  /** Number of routers whose logs contain these failures. */
  readonly routersThatSawThem: number;
}

/** Lines up to this long before the request's first line or after its last one can be related. */
const relatedWindowMilliseconds = 5_000;

/**
 * Explains the outcome of a request from the logs of the routers.
 * @param lines - Lines of all routers, the oldest first.
 * @param request - Id of the request.
 * @returns Undefined when no line has the request's id.
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
 * @param fallback - Text to return when the line has no such field.
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

/** Checks whether a line is about the request's upstream, or about the state of its router. */
function isRelated(line: LogLine, daemon: string, upstream: string): boolean {
  if (line.event.startsWith("upstream.")) {
    return getText(line, "upstream", "") === upstream;
  }
  const isOfRouter = ["registry.", "configuration.", "daemon.", "service."].some((prefix) =>
    line.event.startsWith(prefix),
  );
  return isOfRouter && line.daemon === daemon;
}
