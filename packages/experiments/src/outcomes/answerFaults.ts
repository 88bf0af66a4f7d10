import { writeEndlessly } from "@pistachioway/standins";
import type { EngineExchange } from "./EngineExchange.js";
import {
  formatHead,
  formatRefusal,
  formatResponse,
  getRunFields,
  notRunField,
  type ResponseField,
} from "./responses.js";

/** Answers one request. */
type Answer = (exchange: EngineExchange) => void;

/** One way in which an engine answers wrongly. */
export interface AnswerFault {
  /** Name in the report. */
  readonly variant: string;
  readonly answer: Answer;
  /** Whether it answers a request whose body still comes. */
  readonly isEarly?: boolean;
  /** Whether it needs a request that the engine has refused before. */
  readonly needsRefusal?: boolean;
}

/** Statuses that promise that a request has not run. */
export const promiseStatuses: readonly number[] = [408, 421, 429, 503];
const unavailableStatus = 503;
const badRequestStatus = 400;
const okStatus = 200;
const errorStatus = 500;
/** Rate of each answer without end. */
const endlessBytesPerSecond = 6_000_000;
const refusalStatuses: readonly number[] = [...promiseStatuses, badRequestStatus];
/** Time from the start of the work until an earlier refusal is written. */
const strayMilliseconds = 5;
const splitMilliseconds = 30;
const maxIdleMilliseconds = 40;
/** Spread of the answers that come near a deadline. */
const deadlineSpreadMilliseconds = 40;
/** Longest time that a slow engine takes; streams have a longer deadline. */
const maxSlowMilliseconds = 3_000;

const close: Answer = ({ channel: { socket } }) => socket.destroy();
const reset: Answer = ({ channel: { socket } }) => socket.resetAndDestroy();

/** The faults of answers, by name, each with its variants. */
export const answerFaults = {
  /** The engine runs the request and answers with a promise, without the header that states it. */
  unstated: promiseStatuses.map((status) =>
    createRun(String(status), ({ id }) => formatResponse(status, getRunFields(id))),
  ),
  "unstated-cut": promiseStatuses.map((status) =>
    createAfterRun(String(status), cutAfterHead(status)),
  ),
  stated: [200, 500].map((status) =>
    createRun(String(status), ({ id }) =>
      formatResponse(status, [...getRunFields(id), notRunField]),
    ),
  ),
  statement: [
    createStatement("empty", [["Not-Run", ""]]),
    createStatement("twice", [notRunField, notRunField]),
  ],
  /** An earlier refusal is written where the answer to a running request is due. */
  "stray-foreign": refusalStatuses.map((status) =>
    createStray(status, ({ channel }) => (channel.previousId === "" ? "q-0" : channel.previousId)),
  ),
  "stray-none": refusalStatuses.map((status) => createStray(status, () => undefined)),
  /** The request's own refusal is written once more, while the request runs after a further send. */
  "stray-own": [
    { variant: String(unavailableStatus), answer: answerAndRepeatRefusal, needsRefusal: true },
  ],
  /** Bytes follow a complete answer: an earlier refusal with an id or without one. */
  extra: [
    createAfterRun("same-503", writeWithExtra(formatOwnRefusal, "same")),
    createAfterRun("same-400", writeWithExtra(formatNamelessRefusal, "same")),
    createAfterRun("later-503", writeWithExtra(formatOwnRefusal, "later")),
    createAfterRun("later-400", writeWithExtra(formatNamelessRefusal, "later")),
    createAfterRun("split-503", writeWithExtra(formatOwnRefusal, "split")),
    createAfterRun("split-400", writeWithExtra(formatNamelessRefusal, "split")),
  ],
  informational: [100, 103].map((status) =>
    createRun(String(status), (exchange) => {
      const fields: readonly ResponseField[] = [["Request-Id", exchange.id], notRunField];
      return formatHead(status, fields) + exchange.formatAnswer();
    }),
  ),
  /** An idle channel ends a short time after the answer, or when the next request is there. */
  idle: [
    { variant: "after-close", answer: answerAndEnd(close) },
    { variant: "after-reset", answer: answerAndEnd(reset) },
    { variant: "unread-close", answer: close },
    { variant: "unread-reset", answer: reset },
  ],
  "half-close": [{ variant: "fin", answer: answerAndHalfClose }],
  /** The channel ends after the request has run, without an answer. */
  lost: [
    createAfterRun("close", close),
    createAfterRun("reset", reset),
    createAfterRun("close-reset", closeAndReset),
  ],
  /** The answer comes before the end of the body, which is read later. */
  early: [
    { variant: "200", answer: answerEarly, isEarly: true },
    { variant: "refusal", answer: refuseEarly, isEarly: true },
  ],
  /** The answer comes near the deadline, from a request that ran at once or then. */
  slow: [
    { variant: "running", answer: answerAtDeadline },
    { variant: "queued", answer: runAtDeadline },
  ],
  /** The engine runs the request, and its answer has no end: an error, or a stream without an event. */
  endless: [4, 60_000].map((pieceBytes) =>
    createAfterRun(String(pieceBytes), (exchange) => {
      writeEndlessAnswer(exchange, pieceBytes);
    }),
  ),
  /** No fault: a length, or only the end of the channel, marks the end of the answer, which comes in pieces. */
  framing: (["length", "none"] as const).map((variant) => ({
    variant,
    answer: (exchange: EngineExchange) => {
      exchange.answerFramed(variant);
    },
  })),
  /** No fault: the engine has not run what it refuses. */
  refusing: [{ variant: "503", answer: refuse }],
} as const satisfies Readonly<Record<string, readonly AnswerFault[]>>;

export type AnswerFaultName = keyof typeof answerFaults;

/** Creates a fault that acts when the request has run. */
function createAfterRun(variant: string, act: Answer): AnswerFault {
  const answer: Answer = (exchange) => {
    exchange.run();
    exchange.afterWork(() => {
      act(exchange);
    });
  };
  return { variant, answer };
}

/** Creates a fault that runs the request and then writes a response of its own. */
function createRun(variant: string, format: (exchange: EngineExchange) => string): AnswerFault {
  return createAfterRun(variant, (exchange) => {
    exchange.write(format(exchange));
  });
}

function createStatement(variant: string, statements: readonly ResponseField[]): AnswerFault {
  return createRun(variant, ({ id }) =>
    formatResponse(unavailableStatus, [...getRunFields(id), ...statements]),
  );
}

function writeEndlessAnswer(exchange: EngineExchange, pieceBytes: number): void {
  const { id, work, channel } = exchange;
  const type = work.isStream ? "text/event-stream" : "application/json";
  const fields = [
    ...getRunFields(id),
    ["Content-Type", type],
    ["Transfer-Encoding", "chunked"],
  ] as const;
  exchange.write(formatHead(work.isStream ? okStatus : errorStatus, fields));
  writeEndlessly(channel.socket, { pieceBytes, bytesPerSecond: endlessBytesPerSecond });
}

function cutAfterHead(status: number): Answer {
  return ({ id, channel }) => {
    const fields = [...getRunFields(id), ["Content-Length", "100"]] as const;
    channel.socket.end(formatHead(status, fields));
  };
}

function createStray(
  status: number,
  getId: (exchange: EngineExchange) => string | undefined,
): AnswerFault {
  const answer: Answer = (exchange) => {
    exchange.answer();
    setTimeout(() => {
      exchange.write(formatRefusal(status, getId(exchange)));
    }, strayMilliseconds);
  };
  return { variant: String(status), answer };
}

function answerAndRepeatRefusal(exchange: EngineExchange): void {
  exchange.answer();
  setTimeout(() => {
    exchange.write(formatOwnRefusal(exchange), exchange.refusingChannel);
  }, strayMilliseconds);
}

function formatOwnRefusal({ id }: EngineExchange): string {
  return formatRefusal(unavailableStatus, id);
}

function formatNamelessRefusal(): string {
  return formatRefusal(badRequestStatus, undefined);
}

/** Writes further bytes with a complete answer, some time after it, or one half each. */
function writeWithExtra(
  format: (exchange: EngineExchange) => string,
  time: "same" | "later" | "split",
): Answer {
  return (exchange) => {
    const extra = format(exchange);
    const now = { same: extra.length, later: 0, split: extra.length / 2 }[time];
    exchange.write(exchange.formatAnswer() + extra.slice(0, now));
    setTimeout(() => {
      exchange.write(extra.slice(now));
    }, splitMilliseconds);
  };
}

function answerAndEnd(end: Answer): Answer {
  return (exchange) => {
    exchange.answer(() => {
      setTimeout(end, exchange.work.milliseconds % maxIdleMilliseconds, exchange);
    });
  };
}

/** Ends its side of the channel after the answer; runs the requests that still come. */
function answerAndHalfClose(exchange: EngineExchange): void {
  exchange.answer(() => exchange.channel.socket.end());
}

function closeAndReset(exchange: EngineExchange): void {
  exchange.channel.socket.end();
  setTimeout(reset, strayMilliseconds, exchange);
}

function answerEarly(exchange: EngineExchange): void {
  exchange.run();
  exchange.write(exchange.formatAnswer());
  readLater(exchange);
}

function refuseEarly(exchange: EngineExchange): void {
  refuse(exchange);
  readLater(exchange);
}

function readLater({ channel: { socket } }: EngineExchange): void {
  socket.pause();
  setTimeout(() => socket.resume(), splitMilliseconds);
}

function answerAtDeadline(exchange: EngineExchange): void {
  exchange.run();
  setTimeout(() => {
    exchange.write(exchange.formatAnswer());
  }, getDeadlineMilliseconds(exchange));
}

/** Runs the request near its deadline, if its channel is open then. */
function runAtDeadline(exchange: EngineExchange): void {
  setTimeout(() => {
    if (exchange.channel.socket.writable) {
      exchange.run();
      exchange.write(exchange.formatAnswer());
    }
  }, getDeadlineMilliseconds(exchange));
}

/** Gets a time shortly before or after the deadline of a request, which follows from its work. */
function getDeadlineMilliseconds({ request, work }: EngineExchange): number {
  const offset = (work.milliseconds % deadlineSpreadMilliseconds) - deadlineSpreadMilliseconds / 2;
  return Math.min(maxSlowMilliseconds, request.remainingMilliseconds + offset);
}

function refuse(exchange: EngineExchange): void {
  exchange.write(formatOwnRefusal(exchange));
}
