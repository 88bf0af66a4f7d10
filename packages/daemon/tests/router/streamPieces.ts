import { firstThen, setScripts, type Context } from "./scripts.js";
import { readStream, type SeenStream } from "./StreamCaller.js";
import type { ReceivedRequest, Script } from "@pistachioway/standins";
import type { ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";

/** How a stream ends: as a complete one, or with a connection that is reset. */
export type StreamEnd = "complete" | "reset";

const pieceMilliseconds = 4;

/**
 * Creates numbered events.
 * @param first - Id of the first event.
 * @param last - Id of the last event.
 */
export function createEvents(first: number, last: number): readonly string[] {
  return Array.from(
    { length: last - first + 1 },
    (_, index) => `id: ${String(first + index)}\ndata: piece\n\n`,
  );
}

/**
 * Creates a script that streams pieces in chunks, each in a packet of its own.
 * @param pieces - Bytes of the stream, a character each.
 * @param end - How the stream ends.
 */
export function streamPieces(pieces: readonly string[], end: StreamEnd): Script {
  const write = async ({ id }: ReceivedRequest, response: ServerResponse): Promise<void> => {
    response.writeHead(200, {
      ...{ "request-id": id, "response-stamp": `stamp-${id}` },
      "content-type": "text/event-stream",
    });
    for (const piece of pieces) {
      response.write(Buffer.from(piece, "latin1"));
      await delay(pieceMilliseconds);
    }
    if (end === "complete") {
      response.end();
    } else {
      response.socket?.resetAndDestroy();
    }
  };
  return (request, response) => {
    void write(request, response);
  };
}

/**
 * Creates a script that streams the events after the caller's last one, as its number in the order of the events.
 * @param events - All events.
 */
export function streamPiecesAfterLast(events: readonly string[]): Script {
  return (request, response) => {
    streamPieces(events.slice(Number(request.lastEventId ?? 0)), "complete")(request, response);
  };
}

/** Calls a route of streams, where the first request gets one answer and later ones get another. */
export function callStream(
  context: Context,
  first: Script,
  later: Script,
  route: "stream" | "once" = "stream",
): Promise<SeenStream> {
  setScripts(context, firstThen(first, later));
  return readStream({ port: context.fixture.callersPort, path: `/${route}/1`, id: "q-1" });
}

/** Begins a stream, and calls it again to go on after an event. */
export async function resumeStream(
  context: Context,
  lastEventId: string,
  first: Script,
  later: Script,
): Promise<SeenStream> {
  const port = context.fixture.callersPort;
  setScripts(context, streamPieces(createEvents(1, 3), "complete"));
  await readStream({ port, path: "/stream/1", id: "q-0" });
  setScripts(context, firstThen(first, later));
  const headers = { "last-event-id": lastEventId, resumes: "q-0" };
  return readStream({ port, path: "/stream/1", id: "q-1", headers });
}

/** Gets the ids of the events that requests asked to go on after. */
export function getAskedIds({ upstreams }: Context): readonly (string | undefined)[] {
  const received = upstreams.flatMap((upstream) => upstream.received);
  return received.filter(({ id }) => id === "q-1").map(({ lastEventId }) => lastEventId);
}

/** Gets what a caller has seen of a stream, but for its status, which is lost with a connection that is reset. */
export function withoutStatus({ ids, rest, isComplete }: SeenStream): Omit<SeenStream, "status"> {
  return { ids, rest, isComplete };
}

export const whole: SeenStream = {
  status: 200,
  ids: [1, 2, 3, 4, 5, 6],
  rest: "",
  isComplete: true,
};
export const goOn = streamPiecesAfterLast(createEvents(1, 6));
