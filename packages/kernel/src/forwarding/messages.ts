import type { RoutedTeam } from "../routing/index.js";
import type { Upstream } from "../upstreams/index.js";

/** One part of a prompt, which engines cache by its id. */
export interface PromptBlock {
  readonly id: string;
  readonly tokens: number;
}

/** What the head of a caller's request says, apart from its method and path. */
export interface RequestHead {
  /** Id of this attempt of the caller; empty when it sent none. */
  readonly id: string;
  readonly authority: string;
  readonly key: string | undefined;
  /** Time that the caller waits, in milliseconds from the arrival of the head. */
  readonly callerTimeoutMilliseconds: number | undefined;
  /** Parts of the prompt in order; the last one belongs to the request alone. */
  readonly promptBlocks: readonly PromptBlock[];
  /** Id of the last event that the caller has. */
  readonly lastEventId: string | undefined;
  /** Names and values, by turns, of the headers that pass to the upstream unchanged. */
  readonly passedHeaders: readonly string[];
}

/** What this daemon adds to a request that it sends to an upstream. */
export interface ForwardingOptions {
  readonly upstream: Upstream;
  readonly team: RoutedTeam | undefined;
  /** Time left for the answer, in milliseconds. */
  readonly remainingMilliseconds: number;
  /** 0 is the most urgent; undefined on services without engines. */
  readonly priority: number | undefined;
  /** Id of the last event that the caller has, when a stream goes on. */
  readonly lastEventId: string | undefined;
  /** Address of an engine that holds more of the prompt. */
  readonly kvCacheSourceAddress: string | undefined;
  readonly bodyBytes: number;
  readonly hasBody: boolean;
}

/** Requests that an upstream runs, those that wait, and its slots. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** What the head of an upstream's answer says. */
export interface ResponseHead {
  readonly status: number;
  /** Id of the request that it answers. */
  readonly requestId: string;
  /** The upstream states that it has not run the request and will not. */
  readonly isRefusal: boolean;
  readonly load: ReportedLoad | undefined;
  /** False when only the end of the connection tells where the answer ends. */
  readonly isFramed: boolean;
  /** Names and values, by turns, of the headers that pass to the caller. */
  readonly passedHeaders: readonly string[];
}

/** Translates between the heads on the wire and the product's terms. */
export interface HeaderCodec {
  /** Reads the head of a caller's request from names and values by turns. */
  readonly readRequest: (rawHeaders: readonly string[]) => RequestHead;
  /** Gets the headers, names and values by turns, of a request to an upstream. */
  readonly writeRequest: (head: RequestHead, options: ForwardingOptions) => string[];
  /** Reads the head of an upstream's answer. */
  readonly readResponse: (
    status: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ) => ResponseHead;
}
