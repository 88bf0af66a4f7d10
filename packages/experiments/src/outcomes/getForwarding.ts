/** A request that passed from one router to another. */
export interface Forwarding {
  /** Id of the request. */
  readonly id: string;
  /** Name of the router that it was sent to. */
  readonly peer: string;
}

const endEvent = "event=request.finished";
const noPeer = "-";

/**
 * Gets the request that a router's log line reports as sent to a peer, or as sent by one; undefined for other lines.
 * @param line - Line of the log.
 * @param router - Name of the router that wrote it.
 */
export function getForwarding(line: string, router: string): Forwarding | undefined {
  const fields = line.split(" ");
  const getValue = (prefix: string) =>
    fields.find((field) => field.startsWith(prefix))?.slice(prefix.length);
  const getPeer = (prefix: string) => {
    const peer = getValue(prefix);
    return peer === noPeer ? undefined : peer;
  };
  const id = getValue("request=");
  const peer = getPeer("via=") ?? (getPeer("from=") === undefined ? undefined : router);
  const isEnd = fields.includes(endEvent);
  return !isEnd || id === undefined || peer === undefined ? undefined : { id, peer };
}
