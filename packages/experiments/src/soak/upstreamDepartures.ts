import { setTimeout as delay } from "node:timers/promises";
import type { Installation } from "./Installation.js";
import { pick } from "./pick.js";
import type { DisturbanceContext, PreparedDisturbance } from "./PreparedDisturbance.js";
import type { SoakUpstream } from "./SoakUpstream.js";

/** Time from the registration of an upstream as draining until its removal from the registry. */
const drainMilliseconds = 5_000;
/** Time for which an upstream still runs after its removal from the registry. */
const lingerMilliseconds = 2_500;
/** Time for which the entry of an upstream that has crashed stays in the registry. */
const staleEntryMilliseconds = 1_500;
/** Time until a process that was started again counts as undisturbed. */
const restartMilliseconds = 500;
const minUpstreams = 2;

/** Picks an upstream that may go; undefined when too few are left, or when the one that was picked is going already. */
function pickReplaceable({ installation, random }: DisturbanceContext): SoakUpstream | undefined {
  const upstream = pick(installation.upstreams, random);
  const isGoing = upstream.isDraining || upstream.isLeaving || upstream.isRestarting;
  return installation.upstreams.length <= minUpstreams || isGoing ? undefined : upstream;
}

/** An upstream announces in its responses only that it leaves, and leaves later. */
export function prepareLeaving(context: DisturbanceContext): PreparedDisturbance | undefined {
  const upstream = pickReplaceable(context);
  if (upstream === undefined) {
    return undefined;
  }
  const { installation } = context;
  upstream.isLeaving = true;
  return { target: upstream.id, run: () => replaceUpstream(installation, upstream) };
}

/** Adds an upstream, and removes and closes the one that it replaces later. */
async function replaceUpstream(installation: Installation, upstream: SoakUpstream): Promise<void> {
  await installation.addUpstream();
  await delay(drainMilliseconds);
  installation.removeUpstream(upstream);
  await delay(lingerMilliseconds);
  await installation.endUpstream(upstream);
}

/** The process of an upstream ends between two bytes of its answers; a new one replaces it, and its entry expires later. */
export function prepareCrash(context: DisturbanceContext): PreparedDisturbance | undefined {
  return prepareDraining(context, async (installation, upstream) => {
    await installation.endUpstream(upstream);
    await installation.addUpstream();
    await delay(staleEntryMilliseconds);
    installation.removeUpstream(upstream);
  });
}

/** The process of an upstream ends between two bytes of its answers, and another one is at once at its address under its id. */
export function prepareRestart(context: DisturbanceContext): PreparedDisturbance | undefined {
  const upstream = pickReplaceable(context);
  if (upstream === undefined) {
    return undefined;
  }
  upstream.isRestarting = true;
  return { target: upstream.id, run: () => restart(upstream) };
}

async function restart(upstream: SoakUpstream): Promise<void> {
  await upstream.server.crashAndRestart();
  await delay(restartMilliseconds);
  upstream.isRestarting = false;
}

/** Drains an upstream, adds a new one, and removes and closes the drained one later. */
export function prepareReplacement(context: DisturbanceContext): PreparedDisturbance | undefined {
  return prepareDraining(context, async (installation, upstream) => {
    installation.drainUpstream(upstream);
    await replaceUpstream(installation, upstream);
  });
}

/** Picks an upstream that counts as draining from now on, and prepares its departure. */
function prepareDraining(
  context: DisturbanceContext,
  depart: (installation: Installation, upstream: SoakUpstream) => Promise<void>,
): PreparedDisturbance | undefined {
  const upstream = pickReplaceable(context);
  if (upstream === undefined) {
    return undefined;
  }
  upstream.isDraining = true;
  return { target: upstream.id, run: () => depart(context.installation, upstream) };
}
