import type { Instant } from "@pistachioway/kernel";

/** A connection of a caller that broke, or an answer that ended without a sign of its end. */
export interface Cut {
  readonly daemon: string;
  readonly at: Instant;
  readonly detail: string;
}

/** What callers of chats saw. */
export interface ChatTotals {
  /** Turns whose whole answer arrived and is the expected one. */
  whole: number;
  /** Turns whose answer claimed to be whole and is not the expected one. */
  wrong: number;
  /** Turns that were given up on. */
  unanswered: number;
  /** Turns of chats that had turns before. */
  returned: number;
  /** Prompt words that a returning turn repeats, and all prompt words. */
  repeatedTokens: number;
  promptTokens: number;
}

/** One act as its caller saw it and as the services recorded it. */
export interface ActReport {
  readonly body: string;
  /** Keys under which it was submitted, each with every outcome that was told. */
  readonly keys: readonly { readonly key: string; readonly outcomes: readonly string[] }[];
}

/** A run that a service recorded. */
export interface Run {
  readonly key: string | null;
  readonly bodyDigest: string;
}

/** Load of the engines at about one time. */
export interface LoadSample {
  readonly at: Instant;
  /** Time between the first and the last reading. */
  readonly spanMilliseconds: number;
  readonly loads: readonly number[];
}

/** What a daemon said of its configuration. */
export interface ConfigurationSample {
  readonly daemon: string;
  readonly at: Instant;
  readonly revision: number;
  readonly refusedRevision?: number | undefined;
}

/** Everything that the demo saw. */
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
