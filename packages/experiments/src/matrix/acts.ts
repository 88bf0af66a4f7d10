import type { RuleOptions, RunRecord } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { Caller, waitForCondition, type CallResult, type Fleet } from "../fleet/index.js";
import type { PromiseName, Trial, TrialContext, PromiseEvaluation } from "./schema.js";

/** A fault and the way in which it is injected into an act. */
export interface ActFault {
  readonly rule?: Omit<RuleOptions, "text">;
  /** Links that the rule applies to; the links to the service hosts when absent. */
  readonly links?: readonly string[];
  /** Text from which the rule counts bytes; the start of the act's request when absent. */
  readonly text?: string;
  /** Daemons to which the act is submitted concurrently. */
  readonly daemons?: readonly string[];
  /** Called when the rule has fired, while the act is in flight. */
  readonly onFired?: (fleet: Fleet) => Promise<void>;
  /** Called before the act is submitted. */
  readonly beforeSubmit?: (fleet: Fleet) => Promise<void>;
  /** Whether the fault leaves requests without a response until their deadline. */
  readonly leavesUnanswered?: boolean;
  /** Restores the fleet before the act is submitted again. */
  readonly restore?: (fleet: Fleet) => Promise<void>;
}

interface ActObservation {
  readonly results: readonly CallResult[];
  readonly runs: readonly RunRecord[];
  readonly hasOccurred: boolean;
}

/** Daemon that issues the key of each act, and so the only one that may send it to the service. */
export const issuer = "d1";
/** Daemon that forwards the act to the issuer. */
export const forwarder = "d2";
/** Hosts of the service that runs the acts. */
export const serviceHosts = ["booking-1", "booking-2"] as const;

const team = "routes";
const deadlineMilliseconds = 10_000;
const unansweredDeadlineMilliseconds = 700;
const faultTimeoutMilliseconds = 5_000;
const runObservationMilliseconds = 150;
/** Statuses that tell a caller that its request did not run, whatever the outcome beside them is. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Creates a trial that submits one act several times through two daemons, first concurrently and
 * then consecutively.
 * @param fault - Name of the fault.
 * @param step - Name of the step.
 * @param actFault - How the fault is applied; absent for the trial without a fault.
 * @param options - Whether CI runs it, and the guards that it needs.
 */
export function createActTrial(
  fault: string,
  step: string,
  actFault: ActFault | undefined,
  options: Partial<Pick<Trial, "isQuick" | "guards">> = {},
): Trial {
  const promises: PromiseName[] = ["at-most-once", "not-run-true"];
  if (actFault === undefined) {
    promises.push("exactly-once-without-fault");
  }
  return {
    fault,
    step,
    promises,
    isQuick: options.isQuick ?? true,
    guards: options.guards,
    run: async (context) => {
      const observation = await observeAct(context, actFault ?? {});
      return promises.map((promise) => evaluate(promise, observation));
    },
  };
}

async function observeAct(context: TrialContext, actFault: ActFault): Promise<ActObservation> {
  const { fleet, id } = context;
  const caller = Caller.create(team);
  const path = `/charges/${id}`;
  const allowedMilliseconds =
    actFault.leavesUnanswered === true ? unansweredDeadlineMilliseconds : deadlineMilliseconds;
  const submit = (daemon: string, key: string) =>
    caller.sendAct(
      fleet.getDaemonOrThrow(daemon).callers,
      `booking${path}`,
      key,
      Date.now() + allowedMilliseconds,
    );
  try {
    const key = await caller.requestActKey(fleet.getDaemonOrThrow(issuer).callers);
    const firedBefore = await getFiredCount(fleet, actFault);
    await setRules(fleet, actFault, path);
    await actFault.beforeSubmit?.(fleet);
    const daemons = actFault.daemons ?? [issuer, forwarder, issuer];
    const firstCalls = daemons.map((daemon) => submit(daemon, key));
    const hasOccurred = await waitForFault(fleet, actFault, firedBefore);
    await actFault.onFired?.(fleet);
    await Promise.all(getLinks(actFault).map((link) => fleet.releaseLink(link)));
    const results = await Promise.all(firstCalls);
    await restoreFleet(fleet, actFault);
    results.push(await submit(forwarder, key), await submit(issuer, key));
    await waitUntilSettled(fleet);
    return { results, runs: await getRuns(fleet, path), hasOccurred };
  } finally {
    await setRules(fleet, { links: actFault.links }, path);
    await caller.close();
  }
}

function getLinks(actFault: ActFault): readonly string[] {
  return actFault.links ?? serviceHosts;
}

async function setRules(fleet: Fleet, actFault: ActFault, path: string): Promise<void> {
  const text = actFault.text ?? `POST ${path}`;
  const rules = actFault.rule === undefined ? [] : [{ ...actFault.rule, text }];
  await Promise.all(getLinks(actFault).map((link) => fleet.setLinkRules(link, rules)));
}

async function getFiredCount(fleet: Fleet, actFault: ActFault): Promise<number> {
  const counts = await Promise.all(getLinks(actFault).map((link) => fleet.waitUntilFired(link, 0)));
  return counts.reduce((sum, count) => sum + count, 0);
}

async function waitForFault(fleet: Fleet, actFault: ActFault, before: number): Promise<boolean> {
  if (actFault.rule === undefined) {
    return true;
  }
  const hasFired = async () => (await getFiredCount(fleet, actFault)) > before;
  return await waitForCondition("the rule fired", hasFired, faultTimeoutMilliseconds).then(
    () => true,
    () => false,
  );
}

async function restoreFleet(fleet: Fleet, actFault: ActFault): Promise<void> {
  await actFault.restore?.(fleet);
  await Promise.all(serviceHosts.map((host) => fleet.setLinkMode(host, "open")));
  await Promise.all([issuer, forwarder].map((daemon) => fleet.waitUntilReady(daemon)));
}

/** Waits until no daemon is sending an act, and a little longer for runs that start late. */
async function waitUntilSettled(fleet: Fleet): Promise<void> {
  await waitForCondition("no act is being sent", async () => {
    const statuses = await Promise.all(
      [issuer, forwarder].map((daemon) => fleet.getStatus(daemon)),
    );
    return statuses.every(({ acts }) => acts.sending === 0);
  });
  await delay(runObservationMilliseconds);
}

async function getRuns(fleet: Fleet, path: string): Promise<RunRecord[]> {
  const runs = await Promise.all(serviceHosts.map((host) => fleet.getRuns(host)));
  return runs.flat().filter((run) => run.path === path);
}

function evaluate(promise: PromiseName, observation: ActObservation): PromiseEvaluation {
  const { results, runs, hasOccurred } = observation;
  const getCount = (outcome: string) =>
    results.filter((result) => result.outcome === outcome).length;
  const figures = {
    runs: runs.length,
    complete: getCount("complete"),
    notRun: results.filter(isNotRun).length,
    unknown: getCount("unknown"),
    broken: getCount("broken"),
    hasStruck: hasOccurred,
  };
  const held = hasOccurred && isHeld(promise, observation, figures);
  return { promise, held, figures };
}

function isNotRun({ status, outcome }: CallResult): boolean {
  return outcome === "not-run" || notRunStatuses.has(status);
}

function isHeld(
  promise: PromiseName,
  { results, runs }: ActObservation,
  counts: { complete: number; notRun: number },
): boolean {
  const answers = new Set(
    results.filter(({ outcome }) => outcome === "complete").map((result) => result.text),
  );
  const isSameAnswer = answers.size <= 1 && (answers.size === 0 || runs.length === 1);
  switch (promise) {
    case "not-run-true":
      return counts.notRun === 0 || runs.length === 0;
    case "exactly-once-without-fault":
      return runs.length === 1 && isSameAnswer && counts.complete === results.length;
    default:
      return runs.length <= 1 && isSameAnswer;
  }
}
