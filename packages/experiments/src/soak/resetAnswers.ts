import type { Socket } from "node:net";
import { getBody, getEvent, streamLength } from "./bodies.js";
import type { FaultContext } from "./faultyAnswers.js";
import { writeFramedHead } from "./framings.js";

/** Time from the head to the piece behind which the connection is reset. */
const pieceMilliseconds = 20;
const maxEvents = 3;

/**
 * Answers with neither a length nor chunks, and resets the connection right behind a piece of the answer: after whole
 * events of a stream, or within any other answer. A stream that lacks its last event only is sent as it should be.
 * @param context - The request that has run.
 */
export function resetBehindPiece(context: FaultContext): void {
  const { callId, request, response, answer } = context;
  const { path, lastEventId = "0" } = request;
  const isStream = path.startsWith("/stream/") || path.startsWith("/once/");
  const lastEvent = Number(lastEventId);
  if (isStream && lastEvent >= streamLength - 1) {
    answer();
    return;
  }
  const body = getBody(callId);
  const piece = isStream
    ? getEvents(context, lastEvent)
    : body.slice(0, context.random.getIndex(body.length));
  const type = isStream ? { "content-type": "text/event-stream" } : {};
  const stamps = { "request-id": request.id, "response-stamp": `stamp-${callId}` };
  writeFramedHead(response, "none", { ...stamps, ...type }, body.length);
  response.flushHeaders();
  setTimeout(() => {
    writeAndReset(response.socket, piece);
  }, pieceMilliseconds);
}

/** Gets some events of a stream, but not its last one. */
function getEvents({ callId, source, random }: FaultContext, lastEvent: number): string {
  const count = Math.min(1 + random.getIndex(maxEvents), streamLength - 1 - lastEvent);
  return Array.from({ length: count }, (_, index) =>
    getEvent(callId, lastEvent + index + 1, source),
  ).join("");
}

/** Writes to the socket itself, so that the bytes and the reset arrive together. */
function writeAndReset(socket: Socket | null, piece: string): void {
  socket?.write(piece);
  socket?.resetAndDestroy();
}
