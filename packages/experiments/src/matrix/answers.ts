import type { RuleOptions } from "@pistachioway/standins";
import {
  Caller,
  getExpectedChatAnswer,
  readCompleteContent,
  type CallResult,
  type ChatCall,
  type Fleet,
} from "../fleet/index.js";
import type { Trial, TrialContext, PromiseEvaluation } from "./schema.js";

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
  readonly result: CallResult;
}

/** Injects a fault while answers are in flight. */
export type InjectFault = (fleet: Fleet) => Promise<void>;

/**
 * Creates a trial that sends many chat requests concurrently, some of them with streamed answers.
 * @param fault - Name of the fault.
 * @param step - Name of the step.
 * @param rule - Rule for the links to the engines.
 * @param injectFault - Called while answers are in flight.
 * @param isQuick - Whether CI runs the trial.
 */
export function createAnswerTrial(
  fault: string,
  step: string,
  rule: Omit<RuleOptions, "text"> | undefined,
  injectFault?: InjectFault,
  isQuick = true,
): Trial {
  return {
    fault,
    step,
    promises: ["answers-whole"],
    isQuick,
    run: async (context) => [await observeAnswers(context, rule, injectFault)],
  };
}

async function observeAnswers(
  context: TrialContext,
  rule: Omit<RuleOptions, "text"> | undefined,
  injectFault: InjectFault | undefined,
): Promise<PromiseEvaluation> {
  const { fleet } = context;
  const caller = Caller.create(team);
  const firedBefore = await getFiredCount(fleet);
  await setRules(fleet, rule === undefined ? [] : [{ ...rule, text: chatPath }]);
  try {
    const answering = createCalls(context).map(async (call, index) => {
      const daemon = daemons[index % daemons.length] ?? "d1";
      const result = await caller.sendChat(fleet.getDaemonOrThrow(daemon).callers, call);
      return { call, result };
    });
    await injectFault?.(fleet);
    const answered = await Promise.all(answering);
    const fired = (await getFiredCount(fleet)) - firedBefore;
    return evaluate(answered, rule === undefined ? undefined : fired);
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

async function getFiredCount(fleet: Fleet): Promise<number> {
  const counts = await Promise.all(engines.map((engine) => fleet.waitUntilFired(engine, 0)));
  return counts.reduce((sum, count) => sum + count, 0);
}

/** Checks that every call received its own complete answer or an explicit failure. */
function evaluate(answered: readonly AnsweredCall[], fired: number | undefined): PromiseEvaluation {
  const counts = { whole: 0, failed: 0, wrong: 0, broken: 0 };
  for (const { call, result } of answered) {
    counts[classify(call, result)] += 1;
  }
  const held = counts.wrong === 0 && counts.broken === 0 && fired !== 0;
  return { promise: "answers-whole", held, figures: { ...counts, fired: fired ?? 0 } };
}

function classify(call: ChatCall, result: CallResult): "whole" | "failed" | "wrong" | "broken" {
  if (!result.isBodyComplete) {
    return "broken";
  }
  const content = result.status === 200 ? readCompleteContent(call, result.text) : undefined;
  if (content !== undefined) {
    return content === getExpectedChatAnswer(team, call) ? "whole" : "wrong";
  }
  return result.status >= 400 || result.text.includes(streamError) ? "failed" : "wrong";
}
