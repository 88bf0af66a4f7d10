import type { RuleOptions, RunRecord } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { Caller, waitForCondition, type CallEnd, type Fleet } from "../fleet/index.js";
import type { PromiseName, Trial, TrialContext, Verdict } from "./schema.js";

/** How a fault strikes an act. */
export interface Strike {
  readonly rule?: Omit<RuleOptions, "text">;
  /** Links that the rule is for; those before the service when absent. */
  readonly links?: readonly string[];
  /** Text that the rule counts from; the start of the act's request when absent. */
  readonly text?: string;
  /** Daemons that the act is submitted to at once. */
  readonly through?: readonly string[];
  /** Done when the rule has fired, while the act is in flight. */
  readonly whenFired?: (fleet: Fleet) => Promise<void>;
  /** Done before the act is submitted. */
  readonly before?: (fleet: Fleet) => Promise<void>;
  /** Whether the fault leaves requests without an answer until their deadline. */
  readonly isSilent?: boolean;
  /** Brings the fleet back, before the act is submitted again. */
  readonly heal?: (fleet: Fleet) => Promise<void>;
}

interface ActObservation {
  readonly ends: readonly CallEnd[];
  readonly runs: readonly RunRecord[];
  readonly hasStruck: boolean;
}

/** Daemon that mints the key of each act, and so is the only one that may send it. */
export const issuer = "d1";
/** Another daemon, which forwards the act. */
export const forwarder = "d2";
/** Hosts of the service that acts go to. */
export const serviceHosts = ["booking-1", "booking-2"] as const;

const team = "routes";
const deadlineMilliseconds = 10_000;
const silentDeadlineMilliseconds = 700;
const strikeMilliseconds = 5_000;
const observationMilliseconds = 150;

/**
 * Makes a trial in which one act is submitted repeatedly, at once and in turn, through two daemons.
 * @param fault - Name of the fault.
 * @param step - Name of the step.
 * @param strike - How the fault strikes; absent for the trial without a fault.
 * @param options - Whether CI runs it, and the guards that it needs.
 */
export function createActTrial(
  fault: string,
  step: string,
  strike: Strike | undefined,
  options: Partial<Pick<Trial, "isQuick" | "guards">> = {},
): Trial {
  const promises: PromiseName[] = ["at-most-once", "not-run-true"];
  if (strike === undefined) {
    promises.push("exactly-once-without-fault");
  }
  return {
    fault,
    step,
    promises,
    isQuick: options.isQuick ?? true,
    guards: options.guards,
    run: async (context) => {
      const observation = await observeAct(context, strike ?? {});
      return promises.map((promise) => judge(promise, observation));
    },
  };
}

async function observeAct(context: TrialContext, strike: Strike): Promise<ActObservation> {
  const { fleet, id } = context;
  const caller = Caller.create(team);
  const path = `/charges/${id}`;
  const allowedMilliseconds =
    strike.isSilent === true ? silentDeadlineMilliseconds : deadlineMilliseconds;
  const submit = (daemon: string, key: string) =>
    caller.sendAct(
      fleet.getDaemonOrThrow(daemon).callers,
      `booking${path}`,
      key,
      Date.now() + allowedMilliseconds,
    );
  try {
    const key = await caller.mintKey(fleet.getDaemonOrThrow(issuer).callers);
    const firedBefore = await getFired(fleet, strike);
    await setRules(fleet, strike, path);
    await strike.before?.(fleet);
    const through = strike.through ?? [issuer, forwarder, issuer];
    const first = through.map((daemon) => submit(daemon, key));
    const hasStruck = await waitForStrike(fleet, strike, firedBefore);
    await strike.whenFired?.(fleet);
    await Promise.all(getLinks(strike).map((link) => fleet.releaseLink(link)));
    const ends = await Promise.all(first);
    await heal(fleet, strike);
    ends.push(await submit(forwarder, key), await submit(issuer, key));
    await settle(fleet);
    return { ends, runs: await getRuns(fleet, path), hasStruck };
  } finally {
    await setRules(fleet, { links: strike.links }, path);
    await caller.close();
  }
}

function getLinks(strike: Strike): readonly string[] {
  return strike.links ?? serviceHosts;
}

async function setRules(fleet: Fleet, strike: Strike, path: string): Promise<void> {
  const text = strike.text ?? `POST ${path}`;
  const rules = strike.rule === undefined ? [] : [{ ...strike.rule, text }];
  await Promise.all(getLinks(strike).map((link) => fleet.setLinkRules(link, rules)));
}

async function getFired(fleet: Fleet, strike: Strike): Promise<number> {
  const counts = await Promise.all(getLinks(strike).map((link) => fleet.waitUntilFired(link, 0)));
  return counts.reduce((sum, count) => sum + count, 0);
}

async function waitForStrike(fleet: Fleet, strike: Strike, before: number): Promise<boolean> {
  if (strike.rule === undefined) {
    return true;
  }
  const hasFired = async () => (await getFired(fleet, strike)) > before;
  return await waitForCondition("the rule fired", hasFired, strikeMilliseconds).then(
    () => true,
    () => false,
  );
}

async function heal(fleet: Fleet, strike: Strike): Promise<void> {
  await strike.heal?.(fleet);
  await Promise.all(serviceHosts.map((host) => fleet.setLinkMode(host, "open")));
  await Promise.all([issuer, forwarder].map((daemon) => fleet.waitUntilReady(daemon)));
}

/** Waits until no daemon sends an act, then watches for late runs a little longer. */
async function settle(fleet: Fleet): Promise<void> {
  await waitForCondition("no act is being sent", async () => {
    const all = await Promise.all([issuer, forwarder].map((daemon) => fleet.getStatus(daemon)));
    return all.every(({ acts }) => acts.sending === 0);
  });
  await delay(observationMilliseconds);
}

async function getRuns(fleet: Fleet, path: string): Promise<RunRecord[]> {
  const runs = await Promise.all(serviceHosts.map((host) => fleet.getRuns(host)));
  return runs.flat().filter((run) => run.path === path);
}

function judge(promise: PromiseName, observation: ActObservation): Verdict {
  const { ends, runs, hasStruck } = observation;
  const getCount = (outcome: string) => ends.filter((end) => end.outcome === outcome).length;
  const figures = {
    runs: runs.length,
    complete: getCount("complete"),
    notRun: getCount("not-run"),
    unknown: getCount("unknown"),
    broken: getCount("broken"),
    hasStruck,
  };
  const held = hasStruck && isHeld(promise, observation, figures);
  return { promise, held, figures };
}

function isHeld(
  promise: PromiseName,
  { ends, runs }: ActObservation,
  counts: { complete: number; notRun: number },
): boolean {
  const answers = new Set(
    ends.filter(({ outcome }) => outcome === "complete").map((end) => end.text),
  );
  const isSameAnswer = answers.size <= 1 && (answers.size === 0 || runs.length === 1);
  switch (promise) {
    case "not-run-true":
      return counts.notRun === 0 || runs.length === 0;
    case "exactly-once-without-fault":
      return runs.length === 1 && isSameAnswer && counts.complete === ends.length;
    default:
      return runs.length <= 1 && isSameAnswer;
  }
}
