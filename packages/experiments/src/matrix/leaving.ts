import { Caller, callControl } from "../fleet/index.js";
import { setTimeout as delay } from "node:timers/promises";
import type { Fleet } from "../fleet/index.js";
import type { Trial, TrialContext, PromiseEvaluation } from "./schema.js";

const team = "routes";
const leavingEngine = "e1";
const daemons = ["d1", "d2"] as const;
const leavingLimitMilliseconds = 3_000;
const loadDurationMilliseconds = 4_500;
const callerCount = 8;
const tokens = 4;

interface EngineRecords {
  readonly requests: readonly { readonly at: number }[];
}

/**
 * Creates a trial in which an engine reports that it is leaving and the platform lists it as live.
 * @param fault - Name of the fault.
 * @param step - Name of the step.
 * @param injectFault - Called before the engine reports that it is leaving.
 * @param removeFault - Removes the fault at the end of the trial.
 * @param isQuick - Whether CI runs the trial.
 */
export function createLeavingTrial(
  fault: string,
  step: string,
  injectFault: (fleet: Fleet) => Promise<void>,
  removeFault: (fleet: Fleet) => Promise<void>,
  isQuick: boolean,
): Trial {
  return {
    fault,
    step,
    promises: ["leaving"],
    isQuick,
    run: async (context) => {
      try {
        return [await observeLeaving(context, injectFault)];
      } finally {
        await removeFault(context.fleet);
        await context.fleet.setFaults(leavingEngine, { leaving: false });
      }
    },
  };
}

async function observeLeaving(
  { fleet, id }: TrialContext,
  injectFault: (fleet: Fleet) => Promise<void>,
): Promise<PromiseEvaluation> {
  await injectFault(fleet);
  await fleet.setFaults(leavingEngine, { leaving: true });
  const leftAt = Date.now();
  const counts = await sendLoad(fleet, id, leftAt + loadDurationMilliseconds);
  const path = `${fleet.getAddressOrThrow(leavingEngine)}/_control/records`;
  const { requests } = (await callControl("GET", path)) as EngineRecords;
  const arrivals = requests.map(({ at }) => at - leftAt).filter((age) => age >= 0);
  const lastArrivalMilliseconds = Math.max(0, ...arrivals);
  const lateArrivals = arrivals.filter((age) => age > leavingLimitMilliseconds).length;
  const figures = {
    ...counts,
    arrivals: arrivals.length,
    late: lateArrivals,
    lastArrivalMilliseconds,
  };
  return { promise: "leaving", held: lateArrivals === 0 && counts.complete > 0, figures };
}

/** Sends chat requests through every daemon until a time; each caller sends one at a time. */
async function sendLoad(
  fleet: Fleet,
  id: string,
  until: number,
): Promise<{ complete: number; failed: number }> {
  const caller = Caller.create(team);
  const counts = { complete: 0, failed: 0 };
  const send = async (index: number) => {
    const { callers: address } = fleet.getDaemonOrThrow(daemons[index % daemons.length] ?? "d1");
    for (let callNumber = 0; Date.now() < until; callNumber += 1) {
      const chat = `${id}-${String(index)}-${String(callNumber)}`;
      const call = { chat, message: "what is left", tokens, isStream: false };
      const result = await caller.sendChat(address, call);
      counts[result.outcome === "complete" ? "complete" : "failed"] += 1;
      await delay(1);
    }
  };
  await Promise.all(Array.from({ length: callerCount }, (_unused, index) => send(index)));
  await caller.close();
  return counts;
}
