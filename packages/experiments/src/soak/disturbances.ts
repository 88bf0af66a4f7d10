import type { LinkMode, StoreMode } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../bench/Random.js";
import type { Installation } from "./Installation.js";
import { pick } from "./pick.js";
import type { DisturbanceContext, PreparedDisturbance } from "./PreparedDisturbance.js";
import type { RouterProcess } from "./RouterProcess.js";
import { routerCutName, startName, storeName, type DisturbanceName } from "./schema.js";
import type { SoakUpstream } from "./SoakUpstream.js";
import { prepareEvacuation } from "./prepareEvacuation.js";
import { startOnOccupiedAddress } from "./startOnOccupiedAddress.js";
import {
  prepareCrash,
  prepareLeaving,
  prepareReplacement,
  prepareRestart,
} from "./upstreamDepartures.js";
import { upstreamModes, type UpstreamMode } from "./upstreamModes.js";

/** A kind of disturbance. */
export interface DisturbanceKind {
  readonly name: DisturbanceName;
  readonly isPlanned: boolean;
  /** Picks a target at random; returns undefined if there is none now. */
  readonly prepare: (context: DisturbanceContext) => PreparedDisturbance | undefined;
}

const linkModes: readonly LinkMode[] = [
  "cut",
  "cut-request",
  "cut-response",
  "refuse",
  "closed",
  "closed-to-new",
];
const storeModes: readonly StoreMode[] = ["busy", "silent", "reset"];
const badModes = upstreamModes.filter((mode) => mode !== "well");
const badUpstreamName = "upstream-bad";
/** Shortest time for which a disturbance lasts. */
export const minDurationMilliseconds = 200;
const maxDurationMilliseconds = 8_000;
const maxRestartMilliseconds = 1_500;
/** Time without the store after an unseen revocation; longer than a revoked key may be accepted. */
const storeCutMilliseconds = 8_000;
/** Longest age of the copy from which the store is restored. */
const maxCopyAgeMilliseconds = 3_000;
const maxRestoreMilliseconds = 1_000;
/** Time within which operators and upstreams repeat what a restored store lacks. */
const maxRepeatMilliseconds = 1_500;
/** Time after which the entry of an upstream that has left expires in a restored store. */
const entryLifetimeMilliseconds = 3_600;
const minKeys = 3;

/** Probability that a run uses a kind; below 1, so that some runs spare the routers or the store. */
const kindProbability = 0.5;

/**
 * Picks the kinds of disturbance of a run at random, each with the same probability.
 * @param random - Random source of the run.
 * @param names - Names of the kinds of the run, if they are not picked at random.
 */
export function pickDisturbanceKinds(
  random: Random,
  names: readonly DisturbanceName[] | undefined,
): readonly DisturbanceKind[] {
  if (names !== undefined) {
    return disturbanceKinds.filter(({ name }) => names.includes(name));
  }
  const kinds = disturbanceKinds.filter(() => random.getUniform() < kindProbability);
  return kinds.length === 0 ? disturbanceKinds : kinds;
}

/**
 * Prepares the only disturbances of a run whose modes are given: each upstream has the modes one after the other.
 * @param installation - Installation to disturb.
 * @param modes - Modes of the upstreams.
 * @param milliseconds - Duration of each mode.
 */
export function prepareModes(
  installation: Installation,
  modes: readonly UpstreamMode[],
  milliseconds: number,
): readonly (PreparedDisturbance & { readonly name: string })[] {
  return installation.upstreams.map((upstream) => ({
    name: badUpstreamName,
    target: upstream.id,
    run: async () => {
      for (const mode of modes) {
        upstream.mode = mode;
        await delay(milliseconds);
      }
      upstream.mode = "well";
    },
  }));
}

const disturbanceKinds: readonly DisturbanceKind[] = [
  createRouterKind("kill", false, (router, random) => restart(router, "SIGKILL", random)),
  createRouterKind("stop", true, (router, random) => restart(router, "SIGTERM", random)),
  createRouterKind("pause", false, pause),
  {
    name: "reload",
    isPlanned: true,
    prepare: ({ installation, random }) => {
      const router = pick(installation.routers, random);
      return { target: router.name, run: () => Promise.resolve(router.reload()) };
    },
  },
  {
    name: "router-cut-from-store",
    isPlanned: false,
    prepare: ({ installation, random }) => {
      const { name } = pick(installation.routers, random);
      const setMode = (mode: LinkMode): void => {
        installation.setStoreLinkMode(name, mode);
      };
      return { target: name, run: () => breakLinks(setMode, random) };
    },
  },
  {
    name: routerCutName,
    isPlanned: false,
    prepare: ({ installation, random }) => {
      const { name } = pick(installation.routers, random);
      const setMode = (mode: LinkMode): void => {
        installation.setPathMode([name], installation.upstreamNames, mode);
      };
      return { target: name, run: () => breakLinks(setMode, random) };
    },
  },
  createUpstreamKind("upstream-cut", ({ id }, { installation, random }) =>
    breakLinks((mode) => {
      installation.setPathMode(installation.routerNames, [id], mode);
    }, random),
  ),
  createUpstreamKind(badUpstreamName, async (upstream, { random }) => {
    upstream.mode = pick(badModes, random);
    await delay(pickDurationMilliseconds(random));
    upstream.mode = "well";
  }),
  {
    name: "store-away",
    isPlanned: false,
    prepare: ({ installation: { store }, random }) => ({
      target: storeName,
      run: async () => {
        store.setMode(pick(storeModes, random));
        await delay(pickDurationMilliseconds(random));
        store.setMode("up");
      },
    }),
  },
  {
    name: "store-forgets",
    isPlanned: false,
    prepare: ({ installation: { store } }) => ({
      target: storeName,
      run: () => Promise.resolve(store.discardHistory()),
    }),
  },
  { name: "store-restored", isPlanned: false, prepare: prepareRestoration },
  { name: "upstream-replaced", isPlanned: true, prepare: prepareReplacement },
  { name: "upstream-leaves", isPlanned: true, prepare: prepareLeaving },
  {
    name: "configuration",
    isPlanned: true,
    prepare: ({ installation }) => ({
      target: storeName,
      run: () => Promise.resolve(installation.publish()),
    }),
  },
  { name: "key-revoked", isPlanned: true, prepare: prepareRevocation },
  { name: "key-revoked-unseen", isPlanned: false, prepare: prepareUnseenRevocation },
  { name: "upstream-crashed", isPlanned: false, prepare: prepareCrash },
  createRouterKind(startName, false, startOnOccupiedAddress),
  { name: "zone-evacuated", isPlanned: true, prepare: prepareEvacuation },
  { name: "upstream-restarted", isPlanned: false, prepare: prepareRestart },
];

function createRouterKind(
  name: DisturbanceName,
  isPlanned: boolean,
  run: (router: RouterProcess, random: Random) => Promise<void>,
): DisturbanceKind {
  return {
    name,
    isPlanned,
    prepare: ({ installation, random }) => {
      const router = pick(installation.routers, random);
      if (router.isDisturbed) {
        return undefined;
      }
      router.isDisturbed = true;
      const finish = (): void => {
        router.isDisturbed = false;
      };
      return { target: router.name, run: () => run(router, random).finally(finish) };
    },
  };
}

function createUpstreamKind(
  name: DisturbanceName,
  run: (upstream: SoakUpstream, context: DisturbanceContext) => Promise<void>,
): DisturbanceKind {
  return {
    name,
    isPlanned: false,
    prepare: (context) => {
      const upstream = pick(context.installation.upstreams, context.random);
      return { target: upstream.id, run: () => run(upstream, context) };
    },
  };
}

async function restart(
  router: RouterProcess,
  signal: "SIGTERM" | "SIGKILL",
  random: Random,
): Promise<void> {
  const pauseMilliseconds = random.getUniform() * maxRestartMilliseconds;
  await router.stop(signal);
  await delay(pauseMilliseconds);
  await router.start();
}

async function pause(router: RouterProcess, random: Random): Promise<void> {
  router.signal("SIGSTOP");
  await delay(pickDurationMilliseconds(random));
  router.signal("SIGCONT");
}

async function breakLinks(setMode: (mode: LinkMode) => void, random: Random): Promise<void> {
  setMode(pick(linkModes, random));
  await delay(pickDurationMilliseconds(random));
  setMode("open");
}

/** Restores the store from a copy; operators and upstreams repeat what it lacks some time later. */
function prepareRestoration({ installation, random }: DisturbanceContext): PreparedDisturbance {
  const { store } = installation;
  const run = async (): Promise<void> => {
    const copy = store.createCopy();
    await delay(random.getUniform() * maxCopyAgeMilliseconds);
    store.setMode("reset");
    await delay(random.getUniform() * maxRestoreMilliseconds);
    store.restore(copy);
    store.setMode("up");
    await delay(random.getUniform() * maxRepeatMilliseconds);
    installation.repeatWrites();
    await delay(entryLifetimeMilliseconds);
    installation.removeDeparted();
  };
  return { target: storeName, run };
}

function prepareRevocation({
  installation,
  random,
}: DisturbanceContext): PreparedDisturbance | undefined {
  if (installation.keys.length <= minKeys) {
    return undefined;
  }
  const key = pick(installation.keys, random);
  return { target: storeName, run: () => Promise.resolve(installation.revokeKey(key)) };
}

/** Revokes a key while no router can reach the store, for longer than it may still be accepted. */
function prepareUnseenRevocation(context: DisturbanceContext): PreparedDisturbance | undefined {
  const prepared = prepareRevocation(context);
  const { installation } = context;
  const setMode = (mode: LinkMode): void => {
    installation.routers.forEach(({ name }) => {
      installation.setStoreLinkMode(name, mode);
    });
  };
  return (
    prepared && {
      target: prepared.target,
      run: async () => {
        setMode("cut");
        await prepared.run();
        await delay(storeCutMilliseconds);
        setMode("open");
      },
    }
  );
}

function pickDurationMilliseconds(random: Random): number {
  const spread = maxDurationMilliseconds - minDurationMilliseconds;
  return minDurationMilliseconds + random.getUniform() * spread;
}
