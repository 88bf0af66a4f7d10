/** A kind of request of the emulated site. */
export interface RequestKind {
  readonly name: string;
  readonly service: "engines" | "records";
  readonly perSecond: number;
  /** Tokens of the prompt that a team's requests share. */
  readonly teamTokens: number;
  /** Tokens that a chat's requests share. */
  readonly chatTokens: number;
  /** Tokens of the request's own. */
  readonly ownTokens: number;
  /** Events of the stream that answers; 0 for a plain answer. */
  readonly events: number;
  /** Time to the first byte within which an answer earns its whole worth. */
  readonly goalMilliseconds: number;
  /** Time after which the caller leaves. */
  readonly callerTimeoutMilliseconds: number;
  readonly worth: number;
  readonly lateWorth: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly isIdempotent: boolean;
}

const plain = { teamTokens: 0, chatTokens: 0, ownTokens: 0, events: 0 };
const stream = { service: "engines" as const, isIdempotent: false };

/** The five kinds of crk-trinidad, by the figures of its sheet. */
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
