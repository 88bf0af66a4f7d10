import type { RuleOptions } from "@pistachioway/standins";
import {
  Caller,
  getExpectedChatAnswer,
  readWholeContent,
  type CallEnd,
  type ChatCall,
  type Fleet,
} from "../fleet/index.js";
import type { Trial, TrialContext, Verdict } from "./schema.js";

/** Engines of the fleet. */
export const engines = ["e1", "e2"] as const;

const team = "routes";
const daemons = ["d1", "d2"] as const;
const concurrentCalls = 48;
const maxTokens = 60;
const deadlineMilliseconds = 10_000;
const chatPath = "POST /v1/chat/completions";
const streamError = "event: error";

interface AnsweredCall {
  readonly call: ChatCall;
  readonly end: CallEnd;
}

/** What strikes while the answers are under way. */
export type ChatStrike = (fleet: Fleet) => Promise<void>;

/**
 * Makes a trial in which many chats, whole and streamed, are answered at once.
 * @param fault - Name of the fault.
 * @param step - Name of the step.
 * @param rule - Rule of the links before the engines.
 * @param strike - Done while the answers are under way.
 * @param isQuick - Whether CI runs it.
 */
export function createAnswerTrial(
  fault: string,
  step: string,
  rule: Omit<RuleOptions, "text"> | undefined,
  strike?: ChatStrike,
  isQuick = true,
): Trial {
  return {
    fault,
    step,
    promises: ["answers-whole"],
    isQuick,
    run: async (context) => [await observeAnswers(context, rule, strike)],
  };
}

async function observeAnswers(
  context: TrialContext,
  rule: Omit<RuleOptions, "text"> | undefined,
  strike: ChatStrike | undefined,
): Promise<Verdict> {
  const { fleet } = context;
  const caller = Caller.create(team);
  const firedBefore = await getFired(fleet);
  await setRules(fleet, rule === undefined ? [] : [{ ...rule, text: chatPath }]);
  try {
    const answering = createCalls(context).map(async (call, index) => {
      const daemon = daemons[index % daemons.length] ?? "d1";
      const end = await caller.sendChat(fleet.getDaemonOrThrow(daemon).callers, call);
      return { call, end };
    });
    await strike?.(fleet);
    const answered = await Promise.all(answering);
    const fired = (await getFired(fleet)) - firedBefore;
    return judge(answered, rule === undefined ? undefined : fired);
  } finally {
    await setRules(fleet, []);
    await Promise.all(engines.map((engine) => fleet.setLinkMode(engine, "open")));
    await caller.close();
  }
}

function createCalls({ id, getIndex }: TrialContext): ChatCall[] {
  return Array.from({ length: concurrentCalls }, (_unused, index) => ({
    chat: `${id}-${String(getIndex(concurrentCalls))}`,
    message: `request ${String(index)} of ${id}`,
    tokens: 1 + getIndex(maxTokens),
    isStream: getIndex(2) === 0,
    deadline: Date.now() + deadlineMilliseconds,
  }));
}

async function setRules(fleet: Fleet, rules: RuleOptions[]): Promise<void> {
  await Promise.all(engines.map((engine) => fleet.setLinkRules(engine, rules)));
}

async function getFired(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(engines.map((engine) => fleet.waitUntilFired(engine, 0)));
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Every call got its own whole answer, or a failure that says so. */
function judge(answered: readonly AnsweredCall[], fired: number | undefined): Verdict {
  const counts = { whole: 0, failed: 0, wrong: 0, broken: 0 };
  for (const { call, end } of answered) {
    counts[classify(call, end)] += 1;
  }
  const held = counts.wrong === 0 && counts.broken === 0 && fired !== 0;
  return { promise: "answers-whole", held, figures: { ...counts, fired: fired ?? 0 } };
}

function classify(call: ChatCall, end: CallEnd): "whole" | "failed" | "wrong" | "broken" {
  if (!end.isWhole) {
    return "broken";
  }
  const content = end.status === 200 ? readWholeContent(call, end.text) : undefined;
  if (content !== undefined) {
    return content === getExpectedChatAnswer(team, call) ? "whole" : "wrong";
  }
  return end.status >= 400 || end.text.includes(streamError) ? "failed" : "wrong";
}
