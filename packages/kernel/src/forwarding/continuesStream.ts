import type { ResponseHead } from "./messages.js";

const contentTypeName = "content-type";
const eventStreamType = "text/event-stream";

/**
 * Checks whether a response goes on with a stream: one of another status or type of content is an error, or the answer
 * to something else.
 * @param head - Head of the response.
 * @param begun - Head of the response that began the stream.
 */
export function continuesStream(head: ResponseHead, begun: ResponseHead): boolean {
  return head.status === begun.status && getContentType(head) === getContentType(begun);
}

/**
 * Checks whether a response is a series of server-sent events.
 * @param head - Head of the response.
 */
export function isEventStream(head: ResponseHead): boolean {
  return getContentType(head)?.split(";")[0]?.trim().toLowerCase() === eventStreamType;
}

function getContentType({ passedHeaders }: ResponseHead): string | undefined {
  const index = passedHeaders.findIndex(
    (text, position) => position % 2 === 0 && text.toLowerCase() === contentTypeName,
  );
  return index < 0 ? undefined : passedHeaders[index + 1];
}
