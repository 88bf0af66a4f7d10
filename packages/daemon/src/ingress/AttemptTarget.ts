import type { ResponseHead, Upstream } from "@pistachioway/kernel";
import type { AnswerTimes, EndEvidence, Exchange, ExchangeListener } from "../exchange/index.js";

/** What log lines tell of the target of a request's last attempt. */
export interface TargetReport {
  /** Id of the upstream. */
  readonly upstream: string;
  /** Version of its software. */
  readonly software: string;
  /** Why it was chosen. */
  readonly choice: string;
  /** Where an engine gets the shared part of the prompt from; undefined where that is not placed by work. */
  readonly source?: string;
  /** Requests that it holds, as far as this daemon knows. */
  readonly load: number;
  /** Name of the peer that passes the request on to it; "-" without one. */
  readonly via: string;
}

/** How a target refused a request before an upstream answered it. */
export interface TargetRefusal {
  readonly name: string;
  readonly retryAfterSeconds?: number | undefined;
}

/** Where an attempt sends its request. Instants are monotonic milliseconds. */
export interface AttemptTarget {
  /** Kind and name, for details of failures. */
  readonly description: string;
  /** The upstream, if this daemon sends the request to it directly. */
  readonly upstream: Upstream | undefined;
  /** Gets the software version of the upstream; undefined while it is not known. */
  readonly getSoftwareVersion: () => string | undefined;
  /** Checks whether other targets should be used if there are any. */
  readonly isAvoided: (now: number) => boolean;
  /**
   * Gets the time without a byte that the work which the target holds explains, in milliseconds; 0 when that is not known.
   */
  readonly getSilenceLimit: (now: number) => number;
  /** Checks whether the request, which waits for the head of its response, would be answered sooner elsewhere. */
  readonly isRepeatSooner: (now: number) => boolean;
  /**
   * Sends the request.
   * @param lastEventId - Id of the last event that the caller has received.
   * @param listener - Receives the response or the failure.
   */
  readonly send: (lastEventId: string | undefined, listener: ExchangeListener) => Exchange;
  /** Records the head of the response. */
  readonly recordHead: (head: ResponseHead, now: number) => void;
  /** Records that bytes of the response were received. */
  readonly recordReceivedBytes: (now: number) => void;
  /** Records that the response is a stream. */
  readonly startStream: () => void;
  /** Records the end of the attempt; `hadStream` when its response had started as a stream. */
  readonly finish: (hadStream: boolean) => void;
  /** Starts to watch the process that sends the answer, as only the end of its connection marks the end of the answer. */
  readonly watchProcess: () => void;
  /**
   * Finds out whether the process that began the answer goes on after the end of the connection, since the connections
   * of one that has crashed end in the same way.
   */
  readonly checkProcess: (times: AnswerTimes) => Promise<EndEvidence>;
  readonly recordSuccess: () => void;
  readonly recordFailure: (now: number) => void;
  /** Records that the request was not sent, for want of a connection or otherwise. */
  readonly recordNotSent: (hasConnectFailed: boolean) => void;
  /** Gets how a peer refused the request; undefined when it did not. */
  readonly getRefusal: () => TargetRefusal | undefined;
  readonly getReport: (now: number) => TargetReport;
}
