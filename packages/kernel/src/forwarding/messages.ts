import type { RoutedTeam } from "../routing/index.js";
import type { Upstream } from "../upstreams/index.js";
import type { AnswerMeaning } from "./getAnswerMeaning.js";

/** One block of a prompt; engines cache it under its id. */
export interface PromptBlock {
  readonly id: string;
  readonly tokens: number;
}

/** Size of a prompt and of its answer. */
export interface TokenCounts {
  readonly prompt: number;
  /** Tokens that the answer has at most. */
  readonly maxOutput: number;
}

/** Head of a caller's request, without its method and path. */
export interface RequestHead {
  /** Id that the caller gave this attempt; empty when it sent none, or several. */
  readonly id: string;
  readonly authority: string;
  readonly key: string | undefined;
  /** Time that the caller waits for the response, from the arrival of the head. */
  readonly callerTimeoutMilliseconds: number | undefined;
  /** Blocks of the prompt in order; the last one is not shared with other requests. */
  readonly promptBlocks: readonly PromptBlock[];
  /** Undefined when the request has no prompt, or states no sizes that can be read. */
  readonly tokens: TokenCounts | undefined;
  /** Id of the last stream event that the caller has received. */
  readonly lastEventId: string | undefined;
  /** Id of the request that brought the first event of the stream, when the caller resumes one. */
  readonly resumedRequestId: string | undefined;
  /** Alternating names and values of the headers that are forwarded to the upstream unchanged. */
  readonly passedHeaders: readonly string[];
}

/** Values that this daemon adds to a request that it forwards to an upstream. */
export interface ForwardingOptions {
  readonly upstream: Upstream;
  readonly team: RoutedTeam | undefined;
  /** Time left for the response. */
  readonly remainingMilliseconds: number;
  /** 0 is the most urgent; undefined on services without engines. */
  readonly priority: number | undefined;
  /** Id of the last event that the caller has received, when a stream is resumed. */
  readonly lastEventId: string | undefined;
  /** Address of an engine that holds a longer prefix of the prompt, for KV cache transfer. */
  readonly kvCacheSourceAddress: string | undefined;
  readonly bodyBytes: number;
  readonly hasBody: boolean;
}

/** Load that an upstream reports: its running and waiting requests, its slots, and the slowdown of its host. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How many times as long as usual work takes at this moment; undefined when the upstream does not tell. */
  readonly slowdown: number | undefined;
}

/** Time for which an upstream that refused a request wants no others from this daemon. */
export interface RequestedRest {
  /** Text of the upstream. */
  readonly text: string;
  /** Undefined when the text is not a positive number. */
  readonly milliseconds: number | undefined;
}

/** Limit that an upstream names on requests from all daemons together. */
export interface StatedLimit {
  /** Text of the upstream. */
  readonly text: string;
  /** Undefined when the text is not a number of requests a second. */
  readonly perSecond: number | undefined;
}

/** Head of an upstream's response. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that this is the response to. */
  readonly requestId: string;
  /** The request was meant for another upstream, so the head tells nothing of the one it was sent to. */
  readonly isMisdirected: boolean;
  /** What the response means for the request that was sent. */
  readonly meaning: AnswerMeaning;
  /** Texts by which the upstream states that it has not run the request, one for each header that does. */
  readonly notRunStatements: readonly string[];
  readonly load: ReportedLoad | undefined;
  /** The upstream announces that it leaves. */
  readonly isLeaving: boolean;
  readonly requestedRest: RequestedRest | undefined;
  readonly statedLimit: StatedLimit | undefined;
  /** Time for which the upstream is still cold; undefined when it does not tell. */
  readonly coldMilliseconds: number | undefined;
  /** False when the response has no framing and ends with the connection. */
  readonly isFramed: boolean;
  /** Alternating names and values of the headers that are passed on to the caller. */
  readonly passedHeaders: readonly string[];
}

/** Translates between the headers on the wire and the router's own types. */
export interface HeaderCodec {
  /** Reads the head of a caller's request from alternating names and values. */
  readonly readRequest: (rawHeaders: readonly string[]) => RequestHead;
  /** Gets the headers of a request to an upstream, as alternating names and values. */
  readonly writeRequest: (head: RequestHead, options: ForwardingOptions) => string[];
  /**
   * Reads the head of an upstream's response.
   * @param status - HTTP status.
   * @param headers - Headers by their names in lower case.
   * @param sentId - Id that the request was sent with.
   */
  readonly readResponse: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
    sentId: string,
  ) => ResponseHead;
  /**
   * Gets the headers of a question for the health of an upstream, as alternating names and values.
   * @param remainingMilliseconds - Time for which the answer is waited for.
   */
  readonly writeHealthRequest: (remainingMilliseconds: number) => string[];
  /**
   * Reads the id of the upstream that gave a health answer; undefined when the answer does not name one.
   * @param headers - Headers by their names in lower case.
   */
  readonly readUpstreamId: (
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => string | undefined;
}
