import {
  Caller,
  getExpectedChatAnswer,
  readCompleteContent,
  waitForCondition,
  type CallResult,
  type ChatCall,
  type Fleet,
} from "../fleet/index.js";
import type { Trial, TrialContext, PromiseEvaluation } from "./schema.js";

const team = "routes";
const stoppedDaemon = "d1";
const longStreamTokens = 400;
const longStreamCount = 12;
const serviceHosts = ["booking-1", "booking-2"] as const;
const gracefulExitCode = 0;

/** Creates the trials of the promise "planned-stop". */
export function createStopTrials(): Trial[] {
  return [
    createStopTrial("planned stop", "mid-answer", observeStreams),
    createStopTrial("planned stop", "after the request before the answer", observeAct),
    createStopTrial("daemons replaced one after another", "mid-answer", observeReplacement),
  ];
}

function createStopTrial(
  fault: string,
  step: string,
  observe: (context: TrialContext) => Promise<PromiseEvaluation>,
): Trial {
  return {
    fault,
    step,
    promises: ["planned-stop"],
    isQuick: step === "mid-answer" && fault === "planned stop",
    run: async (context) => [await observe(context)],
  };
}

async function observeStreams(context: TrialContext): Promise<PromiseEvaluation> {
  const figures = await stopUnderStreams(context, stoppedDaemon);
  return { promise: "planned-stop", held: isGraceful(figures), figures };
}

async function observeReplacement(context: TrialContext): Promise<PromiseEvaluation> {
  const first = await stopUnderStreams(context, "d1");
  const second = await stopUnderStreams(context, "d2");
  const figures = {
    whole: first.whole + second.whole,
    cutOff: first.cutOff + second.cutOff,
    exitCode: Math.max(first.exitCode, second.exitCode),
  };
  return { promise: "planned-stop", held: isGraceful(first) && isGraceful(second), figures };
}

interface StopFigures extends Record<string, number> {
  readonly whole: number;
  readonly cutOff: number;
  readonly exitCode: number;
}

function isGraceful({ whole, cutOff, exitCode }: StopFigures): boolean {
  return whole === longStreamCount && cutOff === 0 && exitCode === gracefulExitCode;
}

/** Stops a daemon after the engines have accepted its long requests, and starts it again. */
async function stopUnderStreams({ fleet, id }: TrialContext, name: string): Promise<StopFigures> {
  const caller = Caller.create(team);
  const { callers, process } = fleet.getDaemonOrThrow(name);
  const calls = Array.from({ length: longStreamCount }, (_unused, index) =>
    createCall(id, name, index),
  );
  const streaming = calls.map((call) => caller.sendChat(callers, call));
  await waitUntilAccepted(fleet, calls.length);
  process.signal("SIGTERM");
  const results = await Promise.all(streaming);
  const exitCode = (await process.waitForExit()) ?? -1;
  await caller.close();
  await fleet.startDaemon(name);
  await fleet.waitUntilReady(name);
  const whole = results.filter((result, index) => isWholeAnswer(calls[index], result)).length;
  return { whole, cutOff: results.length - whole, exitCode };
}

function createCall(id: string, name: string, index: number): ChatCall {
  const chat = `${id}-${name}-${String(index)}`;
  return {
    chat,
    message: "the long briefing",
    tokens: longStreamTokens,
    isStream: index % 2 === 0,
  };
}

function isWholeAnswer(call: ChatCall | undefined, result: CallResult): boolean {
  const content = call === undefined ? undefined : readCompleteContent(call, result.text);
  return call !== undefined && content === getExpectedChatAnswer(team, call);
}

/** Waits until the engines run a number of requests concurrently. */
async function waitUntilAccepted(fleet: Fleet, count: number): Promise<void> {
  await waitForCondition(`${String(count)} requests run`, async () => {
    const loads = await Promise.all(
      fleet.layout.engines.map(({ name }) => fleet.callStandin(name, "GET", "load")),
    );
    const running = loads.map((load) => (load as { running: number }).running);
    return running.reduce((sum, count) => sum + count, 0) >= count;
  });
}

/** Stops the issuer of an act that the service has recorded but not answered. */
async function observeAct({ fleet, id }: TrialContext): Promise<PromiseEvaluation> {
  const caller = Caller.create(team);
  const { callers, process } = fleet.getDaemonOrThrow(stoppedDaemon);
  await Promise.all(serviceHosts.map((host) => fleet.setFaults(host, { held: true })));
  const answering = caller.sendAct(callers, `booking/charges/${id}`);
  await waitUntilRecorded(fleet, id);
  process.signal("SIGTERM");
  await Promise.all(serviceHosts.map((host) => fleet.setFaults(host, { held: false })));
  const result = await answering;
  const exitCode = (await process.waitForExit()) ?? -1;
  await caller.close();
  await fleet.startDaemon(stoppedDaemon);
  await fleet.waitUntilReady(stoppedDaemon);
  const held = result.outcome === "complete" && exitCode === gracefulExitCode;
  return { promise: "planned-stop", held, figures: { outcome: result.outcome, exitCode } };
}

async function waitUntilRecorded(fleet: Fleet, id: string): Promise<void> {
  await waitForCondition(`act "${id}" is recorded`, async () => {
    const runs = await Promise.all(serviceHosts.map((host) => fleet.getRuns(host)));
    return runs.flat().some(({ path }) => path.endsWith(id));
  });
}
