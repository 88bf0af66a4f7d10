import type { ReceivedRequest, Script } from "@pistachioway/standins";
import type { ServerResponse } from "node:http";

/** Ways in which an upstream marks the end of a stream: with chunks, with a length, or with its connection. */
export const framings = ["chunks", "a length", "neither"] as const;

export type Framing = (typeof framings)[number];

/** A stream of numbered events. */
export interface FramedStream {
  readonly framing: Framing;
  /** Id of the last event. */
  readonly lastEvent: number;
  /** Text of each event. */
  readonly text?: string;
  /** Time between two events; all come at once without it. */
  readonly eventMilliseconds?: number;
  /** Number of events after which the connection is reset inside the next one. */
  readonly brokenAfter?: number;
  /** Number of events after which nothing more is written. */
  readonly pausedAfter?: number;
}

const brokenEventLength = 9;
const resetMilliseconds = 20;

/**
 * Creates a script that streams the events after the caller's last one.
 * @param stream - The stream.
 */
export function streamFramed(stream: FramedStream): Script {
  return (request, response) => {
    const events = createEvents(stream, request);
    writeStreamHead(stream.framing, request, response, events.join("").length);
    writeEvents(stream, response, events);
  };
}

function createEvents(
  { lastEvent, text = "piece" }: FramedStream,
  request: ReceivedRequest,
): string[] {
  const after = Number(request.lastEventId ?? 0);
  return Array.from(
    { length: lastEvent - after },
    (_, index) => `id: ${String(after + index + 1)}\ndata: ${text}\n\n`,
  );
}

function writeStreamHead(
  framing: Framing,
  { id }: ReceivedRequest,
  response: ServerResponse,
  length: number,
): void {
  if (framing === "neither") {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
  }
  response.writeHead(200, {
    ...{ "request-id": id, "response-stamp": `stamp-${id}` },
    "content-type": "text/event-stream",
    ...(framing === "a length" ? { "content-length": length } : {}),
  });
}

function writeEvents(
  stream: FramedStream,
  response: ServerResponse,
  events: readonly string[],
): void {
  const { eventMilliseconds = 0, brokenAfter = Infinity, pausedAfter = Infinity } = stream;
  let written = 0;
  const writeNext = (): void => {
    const event = events[written];
    if (written === pausedAfter || response.destroyed) {
      return;
    }
    if (event === undefined) {
      response.end();
    } else if (written === brokenAfter) {
      response.write(event.slice(0, brokenEventLength));
      setTimeout(() => response.socket?.resetAndDestroy(), resetMilliseconds);
    } else {
      response.write(event);
      written += 1;
      setTimeout(writeNext, eventMilliseconds);
    }
  };
  writeNext();
}
