import type { ExchangeFailure } from "../exchange/index.js";
import type { ActiveRequestReport } from "./ActiveRequestReport.js";
import type { Attempt } from "./Attempt.js";

/**
 * Finds out why the end of what was received is not the end of the answer. A stream that ends inside an event was broken
 * off, even where its length or last chunk has come. Any other end of a connection is that of the answer only while its
 * upstream still accepts connections.
 * @param attempt - Attempt whose answer has neither a length nor chunks, or ends inside an event.
 * @param report - Receives what the end was taken for.
 * @returns The failure; undefined when the answer is complete.
 */
export async function findEndFailure(
  attempt: Attempt,
  report: ActiveRequestReport,
): Promise<ExchangeFailure | undefined> {
  if (attempt.isBrokenOff() || attempt.endsInsideEvent()) {
    return createLoss("the stream ended inside an event", attempt.endsWithConnection());
  }
  const isStillServing = await attempt.target.isStillServing();
  report.recordUnframedEnd(attempt, isStillServing);
  return isStillServing
    ? undefined
    : createLoss("the upstream is gone, and its answer named no end", true);
}

/**
 * Creates the failure of an attempt that may have run and whose answer is not complete.
 * @param detail - What has happened.
 * @param wasClosedByUpstream - Whether the upstream's side ended the connection.
 */
export function createLoss(detail: string, wasClosedByUpstream: boolean): ExchangeFailure {
  return { end: "lost", detail, hasConnectFailed: false, wasClosedByUpstream };
}
