import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../bench/Random.js";
import type { OutcomeInstallation } from "./OutcomeInstallation.js";
import type { FaultName, ProcessFaultName } from "./schema.js";

const pauseMilliseconds = 1_000;
/** Time from the crash of an engine to its next start. */
const crashMilliseconds = 500;
const meanIntervalMilliseconds = 1_500;

/** Disturbs one process of an installation, and resolves when it works again. */
type Disturbance = (installation: OutcomeInstallation, random: Random) => Promise<void>;

const disturbances: Readonly<Record<ProcessFaultName, Disturbance>> = {
  /** Connections wait in the queue of an engine that does not accept them. */
  queue: ({ engines }, random) => pause(pick(engines, random)),
  restart: (installation, random) => installation.restartEngine(pick(installation.engines, random)),
  paused: ({ routers }, random) => pause(pick(routers, random)),
  /** An engine ends, also between two events, and nobody accepts connections for it for some time. */
  crash: (installation, random) =>
    installation.restartEngine(pick(installation.engines, random), crashMilliseconds),
};

/**
 * Disturbs processes one after the other until a time, if the fault is one of processes.
 * @param installation - The installation.
 * @param fault - Fault of the run.
 * @param random - Random source of the times and targets.
 * @param endsAt - Time of the end, in milliseconds since the epoch.
 * @returns The number of disturbances.
 */
export async function disturb(
  installation: OutcomeInstallation,
  fault: FaultName,
  random: Random,
  endsAt: number,
): Promise<number> {
  if (!isProcessFault(fault)) {
    return 0;
  }
  let count = 0;
  while (Date.now() < endsAt) {
    await delay(random.getExponential(meanIntervalMilliseconds));
    await disturbances[fault](installation, random);
    count += 1;
  }
  return count;
}

function isProcessFault(fault: FaultName): fault is ProcessFaultName {
  return Object.hasOwn(disturbances, fault);
}

async function pause(target: { signal: (signal: NodeJS.Signals) => void }): Promise<void> {
  target.signal("SIGSTOP");
  await delay(pauseMilliseconds);
  target.signal("SIGCONT");
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[random.getIndex(items.length)] as Item;
}
