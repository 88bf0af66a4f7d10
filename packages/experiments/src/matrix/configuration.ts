import type { DaemonStatus, TimelineEvent } from "@pistachioway/kernel";
import { createConfigurationText, waitForCondition, type Fleet } from "../fleet/index.js";
import type { Trial, TrialContext, PromiseEvaluation } from "./schema.js";

const daemons = ["d1", "d2"] as const;
const inForceTimeoutMilliseconds = 5_000;
const invalidText = "[[zones]]\nname = ";
const operatorCount = 6;

type Observation = Omit<PromiseEvaluation, "promise">;

/** Sequence number of the next event of each daemon, in the order of `daemons`. */
type EventPositions = readonly number[];

/** Creates the trials of the promise "configuration". */
export function createConfigurationTrials(): Trial[] {
  return [
    createTrial("none", "during the change of configuration", observePublish),
    createTrial("two operators at once", "during the change of configuration", observeOperators),
    createTrial("refused configuration", "during the change of configuration", observeRefused),
    createTrial("platform stale", "after the change of configuration", observeStale),
    createTrial("platform stale", "during a restart", observeStaleRestart),
    createTrial("platform down", "during a restart", observeDownRestart, false),
    createTrial("platform down", "during the change of configuration", observeDownPublish),
    createTrial("cut from the platform", "during the change of configuration", observeCutDaemon),
  ];
}

function createTrial(
  fault: string,
  step: string,
  observe: (fleet: Fleet) => Promise<Observation>,
  isQuick = true,
): Trial {
  return {
    fault,
    step,
    promises: ["configuration"],
    isQuick,
    run: async ({ fleet }: TrialContext) => {
      try {
        return [{ promise: "configuration", ...(await observe(fleet)) }];
      } finally {
        await restoreFleet(fleet);
      }
    },
  };
}

async function restoreFleet(fleet: Fleet): Promise<void> {
  await fleet.callStandin("platform", "POST", "up");
  await fleet.callStandin("platform", "POST", "stale", {});
  await Promise.all(daemons.map((name) => fleet.setLinkMode(`${name}.platform`, "open")));
  const revision = await publishValid(fleet);
  await waitUntilInForce(fleet, revision);
}

async function observePublish(fleet: Fleet): Promise<Observation> {
  const publishedAt = Date.now();
  const revision = await publishValid(fleet);
  const isInForce = await waitUntilInForce(fleet, revision);
  return { held: isInForce, figures: { revision, milliseconds: Date.now() - publishedAt } };
}

async function observeOperators(fleet: Fleet): Promise<Observation> {
  const publishing = Array.from({ length: operatorCount }, () => publishValid(fleet));
  const newest = Math.max(...(await Promise.all(publishing)));
  const isInForce = await waitUntilInForce(fleet, newest);
  const statuses = await getStatuses(fleet);
  const digests = new Set(statuses.map(({ configuration }) => configuration?.digest));
  return { held: isInForce && digests.size === 1, figures: { newest, digests: digests.size } };
}

async function observeRefused(fleet: Fleet): Promise<Observation> {
  const accepted = await publishValid(fleet);
  await waitUntilInForce(fleet, accepted);
  const refused = await fleet.publish(invalidText);
  const isReported = await isMet("every daemon reports the refused value", async () => {
    const statuses = await getStatuses(fleet);
    return statuses.every((status) => status.refused?.revision === refused);
  });
  const statuses = await getStatuses(fleet);
  const reasons = new Set(statuses.map((status) => JSON.stringify(status.refused?.reasons)));
  const isKept = statuses.every(({ configuration }) => configuration?.revision === accepted);
  const figures = { isReported, isKept, differentReasons: reasons.size };
  return { held: isReported && isKept && reasons.size === 1, figures };
}

/**
 * Checks that no daemon applies an older value that the platform serves. Reads the events of the
 * daemons, because the status shows a reversion only briefly: the peers of a daemon that applied
 * the older value soon send it the newer one again.
 */
async function observeStale(fleet: Fleet): Promise<Observation> {
  const older = await publishValid(fleet);
  const newer = await publishValid(fleet);
  await waitUntilInForce(fleet, newer);
  const positions = await getEventPositions(fleet);
  await fleet.callStandin("platform", "POST", "stale", { configurationRevision: older });
  const isEvaluated = await waitUntilEvaluated(fleet, positions, older);
  const events = await getEventsSince(fleet, positions);
  const applied = events
    .filter(({ name }) => name === "configuration.in-force")
    .map(({ fields }) => Number(fields.revision));
  const lowest = Math.min(...(await getRevisions(fleet)), ...applied);
  return {
    held: isEvaluated && lowest === newer,
    figures: { older, newer, lowest, isJudged: isEvaluated },
  };
}

async function observeStaleRestart(fleet: Fleet): Promise<Observation> {
  const older = await publishValid(fleet);
  const newer = await publishValid(fleet);
  await waitUntilInForce(fleet, newer);
  await fleet.callStandin("platform", "POST", "stale", { configurationRevision: older });
  await restart(fleet, "d2");
  const isInForce = await waitUntilInForce(fleet, newer);
  return { held: isInForce, figures: { older, newer, inForce: await toText(fleet) } };
}

async function observeDownRestart(fleet: Fleet): Promise<Observation> {
  const revision = await publishValid(fleet);
  await waitUntilInForce(fleet, revision);
  await fleet.callStandin("platform", "POST", "down");
  await restart(fleet, "d2");
  const isInForce = await waitUntilInForce(fleet, revision);
  return { held: isInForce, figures: { revision, inForce: await toText(fleet) } };
}

async function observeDownPublish(fleet: Fleet): Promise<Observation> {
  await fleet.callStandin("platform", "POST", "down");
  const revision = await publishValid(fleet);
  await fleet.callStandin("platform", "POST", "up");
  const isInForce = await waitUntilInForce(fleet, revision);
  return { held: isInForce, figures: { revision, inForce: await toText(fleet) } };
}

/** Checks that a daemon that cannot reach the platform gets the newest value from its peers. */
async function observeCutDaemon(fleet: Fleet): Promise<Observation> {
  await fleet.setLinkMode("d2.platform", "refuse");
  const revision = await publishValid(fleet);
  const isInForce = await waitUntilInForce(fleet, revision);
  return { held: isInForce, figures: { revision, inForce: await toText(fleet) } };
}

async function publishValid(fleet: Fleet): Promise<number> {
  return fleet.publish(fleet.layout.configuration ?? createConfigurationText(fleet.layout));
}

async function restart(fleet: Fleet, name: string): Promise<void> {
  await fleet.getDaemonOrThrow(name).process.kill();
  await fleet.startDaemon(name);
}

function waitUntilInForce(fleet: Fleet, revision: number): Promise<boolean> {
  return isMet(`revision ${String(revision)} is in force`, async () => {
    const revisions = await getRevisions(fleet);
    return revisions.every((current) => current === revision);
  });
}

/** Waits until a daemon has evaluated a revision, whether it applied or ignored it. */
function waitUntilEvaluated(
  fleet: Fleet,
  positions: EventPositions,
  revision: number,
): Promise<boolean> {
  return isMet(`revision ${String(revision)} was evaluated again`, async () => {
    const events = await getEventsSince(fleet, positions);
    return events.some(
      ({ name, fields }) =>
        ["configuration.in-force", "configuration.stale"].includes(name) &&
        fields.revision === revision,
    );
  });
}

async function getEventPositions(fleet: Fleet): Promise<EventPositions> {
  const pages = await Promise.all(daemons.map((name) => fleet.getEvents(name, 0)));
  return pages.map(({ next }) => next);
}

async function getEventsSince(fleet: Fleet, positions: EventPositions): Promise<TimelineEvent[]> {
  const pages = await Promise.all(
    daemons.map((name, index) => fleet.getEvents(name, positions[index] ?? 0)),
  );
  return pages.flatMap(({ events }) => events);
}

function isMet(name: string, condition: () => Promise<boolean>): Promise<boolean> {
  return waitForCondition(name, condition, inForceTimeoutMilliseconds).then(
    () => true,
    () => false,
  );
}

async function getStatuses(fleet: Fleet): Promise<DaemonStatus[]> {
  return Promise.all(daemons.map((name) => fleet.getStatus(name)));
}

async function getRevisions(fleet: Fleet): Promise<number[]> {
  const statuses = await getStatuses(fleet);
  return statuses.map(({ configuration }) => configuration?.revision ?? 0);
}

async function toText(fleet: Fleet): Promise<string> {
  return (await getRevisions(fleet)).join(",");
}
