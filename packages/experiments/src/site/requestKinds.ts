/** A kind of request of the emulated site. */
export interface RequestKind {
  readonly name: string;
  readonly service: "engines" | "records";
  readonly perSecond: number;
  /** Prompt tokens that all requests of a team share. */
  readonly teamTokens: number;
  /** Prompt tokens that all requests of a chat share. */
  readonly chatTokens: number;
  /** Prompt tokens that only this request has. */
  readonly ownTokens: number;
  /** Events of the response stream; 0 for a plain response. */
  readonly events: number;
  /** Latency objective for the first byte; a response that meets it earns its whole worth. */
  readonly goalMilliseconds: number;
  /** Time after which the caller cancels the request. */
  readonly callerTimeoutMilliseconds: number;
  /** Worth of a response that meets the latency objective. */
  readonly worth: number;
  /** Worth of a response that misses the latency objective. */
  readonly lateWorth: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isIdempotent: boolean;
}

const plain = { teamTokens: 0, chatTokens: 0, ownTokens: 0, events: 0 };
const stream = { service: "engines" as const, isIdempotent: false };

/** The five request kinds of the site crk-trinidad, with the values of its data sheet. */
export const requestKinds: readonly RequestKind[] = [
  {
    ...stream,
    name: "briefing",
    perSecond: 22.1,
    teamTokens: 4_200,
    chatTokens: 6_312,
    ownTokens: 1_300,
    events: 55,
    goalMilliseconds: 600,
    callerTimeoutMilliseconds: 12_000,
    worth: 7.2,
    lateWorth: 2.1,
    priority: 0,
  },
  {
    ...stream,
    name: "answer",
    perSecond: 61,
    teamTokens: 280,
    chatTokens: 419,
    ownTokens: 130,
    events: 42,
    goalMilliseconds: 600,
    callerTimeoutMilliseconds: 10_000,
    worth: 0.87,
    lateWorth: 0.26,
    priority: 1,
  },
  {
    ...stream,
    name: "summary",
    perSecond: 39.9,
    teamTokens: 816,
    chatTokens: 1_225,
    ownTokens: 360,
    events: 3,
    goalMilliseconds: 1_000,
    callerTimeoutMilliseconds: 2_500,
    worth: 0.43,
    lateWorth: 0.13,
    priority: 2,
  },
  {
    ...plain,
    name: "confirmation",
    service: "records",
    perSecond: 30.7,
    goalMilliseconds: 193,
    callerTimeoutMilliseconds: 1_500,
    worth: 1,
    lateWorth: 0.3,
    priority: 0,
    isIdempotent: false,
  },
  {
    ...plain,
    name: "lookup",
    service: "records",
    perSecond: 12.3,
    goalMilliseconds: 193,
    callerTimeoutMilliseconds: 1_500,
    worth: 1,
    lateWorth: 0.3,
    priority: 1,
    isIdempotent: true,
  },
];
