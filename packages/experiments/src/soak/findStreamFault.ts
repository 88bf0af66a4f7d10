import { getEvent, streamLength } from "./bodies.js";

/** A stream as its caller has received it. */
export interface ReceivedStream {
  /** Id of the call. */
  readonly id: string;
  readonly body: string;
  /** Whether it ended as complete. */
  readonly isWhole: boolean;
}

/**
 * What is wrong with a stream: `early`: it ended as complete before its last event; `bytes`: bytes that are no event;
 * `order`: an event whose id does not follow the one before, or that is not of this stream.
 */
export type StreamFault = "early" | "bytes" | "order";

const eventPattern = /^id: \d+\ndata: [^\n]*\n\n/;
const shownBytes = 80;

/**
 * Finds what is wrong with a stream. Its events must be those of the call, with ids that rise by one from 1, and all of
 * them if it ended as complete. One that was broken off may end inside an event.
 * @param stream - The stream.
 * @param sources - Upstreams that ran the call; each writes events of its own length.
 * @returns The fault with a description; undefined when there is none.
 */
export function findStreamFault(
  { id, body, isWhole }: ReceivedStream,
  sources: readonly string[],
): { readonly fault: StreamFault; readonly detail: string } | undefined {
  let rest = body;
  let event = 0;
  let nextTexts = getEventTexts(id, 1, sources);
  for (let text = getStart(rest, nextTexts); text !== undefined; text = getStart(rest, nextTexts)) {
    rest = rest.slice(text.length);
    event += 1;
    nextTexts = getEventTexts(id, event + 1, sources);
  }
  const position = `after event ${String(event)} of ${String(streamLength)}`;
  if (rest !== "" && (isWhole || !nextTexts.some((text) => text.startsWith(rest)))) {
    const fault = eventPattern.test(rest) ? "order" : "bytes";
    return { fault, detail: `${JSON.stringify(rest.slice(0, shownBytes))} ${position}` };
  }
  return isWhole && event < streamLength
    ? { fault: "early", detail: `ended as complete ${position}` }
    : undefined;
}

/** Gets what an event of a call may be; nothing behind the last one. */
function getEventTexts(id: string, event: number, sources: readonly string[]): readonly string[] {
  return event > streamLength ? [] : sources.map((source) => getEvent(id, event, source));
}

function getStart(text: string, candidates: readonly string[]): string | undefined {
  return candidates.find((candidate) => text.startsWith(candidate));
}
