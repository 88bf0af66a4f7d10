import type { Instant } from "@pistachioway/kernel";

/** A request whose connection broke, or whose answer ended without its terminal event. */
export interface Cut {
  readonly daemon: string;
  readonly at: Instant;
  readonly detail: string;
}

/** Totals of the answers to chat turns. */
export interface ChatTotals {
  /** Turns with a complete and correct answer. */
  whole: number;
  /** Turns whose answer was marked as complete but is not the expected one. */
  wrong: number;
  /** Turns without a complete answer after every retry. */
  unanswered: number;
  /** Answered turns that were not the first of their chat. */
  returned: number;
  /** Prompt words that repeat previous turns of the chat. */
  repeatedTokens: number;
  /** All prompt words. */
  promptTokens: number;
}

/** One act with the outcomes that its caller received. */
export interface ActReport {
  readonly body: string;
  /** Keys under which the act was submitted, each with every outcome that was reported for it. */
  readonly keys: readonly { readonly key: string; readonly outcomes: readonly string[] }[];
}

/** A run of an act that a service recorded. */
export interface Run {
  readonly key: string | null;
  readonly bodyDigest: string;
}

/** Loads of the engines, read at about the same time. */
export interface LoadSample {
  readonly at: Instant;
  /** Duration of reading all engines. */
  readonly spanMilliseconds: number;
  readonly loads: readonly number[];
}

/** Configuration that a daemon reported. */
export interface ConfigurationSample {
  readonly daemon: string;
  readonly at: Instant;
  readonly revision: number;
  readonly refusedRevision?: number | undefined;
}

/** Everything that the demo observed. */
export interface Observations {
  readonly chats: ChatTotals;
  readonly problems: ReadonlyMap<string, number>;
  readonly cuts: readonly Cut[];
  readonly acts: readonly ActReport[];
  readonly runs: readonly Run[];
  readonly loads: readonly LoadSample[];
  readonly bound: number;
  readonly leaving: {
    readonly at: Instant;
    readonly requestsBefore: number;
    readonly requestTimesAfter: readonly Instant[];
  };
  readonly stop: {
    readonly daemon: string;
    readonly inFlight: number;
    readonly exitCode: number | null;
  };
  readonly kill: { readonly daemon: string; readonly at: Instant };
  readonly configuration: {
    readonly live: readonly string[];
    readonly publishedAt: Instant;
    readonly revision: number;
    readonly refusedRevision: number;
    readonly samples: readonly ConfigurationSample[];
  };
  readonly outage: { readonly whole: number };
  readonly cacheReuse: number;
  readonly controlBytesPerSecond: readonly number[];
}
