import { isCompleteBy, type ExchangeFailure } from "../exchange/index.js";
import type { ActiveRequestReport } from "./ActiveRequestReport.js";
import type { Attempt } from "./Attempt.js";

/**
 * Finds out why the end of what was received is not the end of the answer. A stream that ends inside an event was broken
 * off, even where its length or last chunk has come. Any other end of a connection is that of the answer only while the
 * process that began it goes on.
 * @param attempt - Attempt whose answer has neither a length nor chunks, or ends inside an event.
 * @param earliestArrival - Earliest instant at which something may have come that this process reads now.
 * @param report - Receives what the end was taken for.
 * @returns The failure; undefined when the answer is complete.
 */
export async function findEndFailure(
  attempt: Attempt,
  earliestArrival: number,
  report: ActiveRequestReport,
): Promise<ExchangeFailure | undefined> {
  if (attempt.isBrokenOff() || attempt.endsInsideEvent()) {
    return createLoss("the stream ended inside an event", attempt.endsWithConnection());
  }
  const evidence = await attempt.checkProcess(earliestArrival);
  report.recordUnframedEnd(attempt, evidence);
  return isCompleteBy(evidence)
    ? undefined
    : createLoss(`the upstream's process is ${evidence}, and its answer named no end`, true);
}

/**
 * Creates the failure of an attempt that may have run and whose answer is not complete.
 * @param detail - What has happened.
 * @param wasClosedByUpstream - Whether the upstream's side ended the connection.
 */
export function createLoss(detail: string, wasClosedByUpstream: boolean): ExchangeFailure {
  return { end: "lost", detail, hasConnectFailed: false, wasClosedByUpstream };
}
