import type { LinkMode, StoreMode } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../bench/Random.js";
import type { Installation } from "./Installation.js";
import type { RouterProcess } from "./RouterProcess.js";
import { storeName } from "./schema.js";
import type { SoakUpstream, UpstreamMode } from "./SoakUpstream.js";

/** What a disturbance works on. */
export interface DisturbanceScene {
  readonly installation: Installation;
  readonly random: Random;
}

/** A disturbance that was drawn and waits to be carried out. */
export interface DrawnDisturbance {
  readonly target: string;
  /** Resolves when it is over and healed. */
  readonly run: () => Promise<void>;
}

/** A kind of disturbance. */
export interface DisturbanceKind {
  readonly name: string;
  readonly isPlanned: boolean;
  /** Draws a target; undefined when there is none now. */
  readonly draw: (scene: DisturbanceScene) => DrawnDisturbance | undefined;
}

const linkModes: readonly LinkMode[] = ["cut", "cut-request", "cut-response", "refuse"];
const storeModes: readonly StoreMode[] = ["busy", "silent", "reset"];
const badModes: readonly UpstreamMode[] = ["refusing", "mute", "failing", "torn", "extra"];
const shortestMilliseconds = 200;
const longestMilliseconds = 8_000;
const longestRestartMilliseconds = 1_500;
/** Time from the word that an upstream leaves until it is off the list. */
const drainMilliseconds = 5_000;
/** Time for which an upstream goes on after it is off the list. */
const lingerMilliseconds = 2_500;
/** Time for which no router sees that a key was taken away; longer than a revoked key may run. */
const unseenMilliseconds = 8_000;
const leastUpstreams = 2;
const leastKeys = 3;

/** Share of the kinds that one run uses, so that some runs leave routers or store alone. */
const usedShare = 0.5;

/**
 * Draws the kinds of a run; each is as likely as any other.
 * @param random - Stream of the run.
 */
export function drawKinds(random: Random): readonly DisturbanceKind[] {
  const drawn = disturbanceKinds.filter(() => random.getUniform() < usedShare);
  return drawn.length === 0 ? disturbanceKinds : drawn;
}

/** All kinds. */
const disturbanceKinds: readonly DisturbanceKind[] = [
  createRouterKind("kill", false, (router, random) => restart(router, "SIGKILL", random)),
  createRouterKind("stop", true, (router, random) => restart(router, "SIGTERM", random)),
  createRouterKind("pause", false, pause),
  {
    name: "reload",
    isPlanned: true,
    draw: ({ installation, random }) => {
      const router = pick(installation.routers, random);
      return { target: router.name, run: () => Promise.resolve(router.signal("SIGHUP")) };
    },
  },
  {
    name: "router-cut-from-store",
    isPlanned: false,
    draw: ({ installation, random }) => {
      const { name } = pick(installation.routers, random);
      return { target: name, run: () => breakLink(installation, name, random) };
    },
  },
  createUpstreamKind("upstream-cut", (upstream, { installation, random }) =>
    breakLink(installation, upstream.id, random),
  ),
  createUpstreamKind("upstream-bad", async (upstream, { random }) => {
    upstream.mode = pick(badModes, random);
    await delay(getLength(random));
    upstream.mode = "well";
  }),
  {
    name: "store-away",
    isPlanned: false,
    draw: ({ installation: { store }, random }) => ({
      target: storeName,
      run: async () => {
        store.setMode(pick(storeModes, random));
        await delay(getLength(random));
        store.setMode("up");
      },
    }),
  },
  {
    name: "store-forgets",
    isPlanned: false,
    draw: ({ installation: { store } }) => ({
      target: storeName,
      run: () => Promise.resolve(store.discardHistory()),
    }),
  },
  { name: "upstream-replaced", isPlanned: true, draw: drawReplacement },
  {
    name: "configuration",
    isPlanned: true,
    draw: ({ installation }) => ({
      target: storeName,
      run: () => Promise.resolve(installation.publish()),
    }),
  },
  { name: "key-revoked", isPlanned: true, draw: drawRevocation },
  { name: "key-revoked-unseen", isPlanned: false, draw: drawUnseenRevocation },
];

function createRouterKind(
  name: string,
  isPlanned: boolean,
  run: (router: RouterProcess, random: Random) => Promise<void>,
): DisturbanceKind {
  return {
    name,
    isPlanned,
    draw: ({ installation, random }) => {
      const router = pick(installation.routers, random);
      if (router.isHandled) {
        return undefined;
      }
      router.isHandled = true;
      const finish = (): void => {
        router.isHandled = false;
      };
      return { target: router.name, run: () => run(router, random).finally(finish) };
    },
  };
}

function createUpstreamKind(
  name: string,
  run: (upstream: SoakUpstream, scene: DisturbanceScene) => Promise<void>,
): DisturbanceKind {
  return {
    name,
    isPlanned: false,
    draw: (scene) => {
      const upstream = pick(scene.installation.upstreams, scene.random);
      return { target: upstream.id, run: () => run(upstream, scene) };
    },
  };
}

async function restart(
  router: RouterProcess,
  signal: "SIGTERM" | "SIGKILL",
  random: Random,
): Promise<void> {
  const pauseMilliseconds = random.getUniform() * longestRestartMilliseconds;
  await router.end(signal);
  await delay(pauseMilliseconds);
  await router.start();
}

async function pause(router: RouterProcess, random: Random): Promise<void> {
  router.signal("SIGSTOP");
  await delay(getLength(random));
  router.signal("SIGCONT");
}

async function breakLink(installation: Installation, name: string, random: Random): Promise<void> {
  installation.setLinkMode(name, pick(linkModes, random));
  await delay(getLength(random));
  installation.setLinkMode(name, "open");
}

/** An upstream says that it leaves, goes off the list, ends later; another one takes its place. */
function drawReplacement({ installation, random }: DisturbanceScene): DrawnDisturbance | undefined {
  const upstream = pick(installation.upstreams, random);
  if (installation.upstreams.length <= leastUpstreams || upstream.isLeaving) {
    return undefined;
  }
  upstream.isLeaving = true;
  const run = async (): Promise<void> => {
    installation.drainUpstream(upstream);
    await installation.addUpstream();
    await delay(drainMilliseconds);
    installation.removeUpstream(upstream);
    await delay(lingerMilliseconds);
    await upstream.server.close();
  };
  return { target: upstream.id, run };
}

function drawRevocation({ installation, random }: DisturbanceScene): DrawnDisturbance | undefined {
  if (installation.keys.length <= leastKeys) {
    return undefined;
  }
  const key = pick(installation.keys, random);
  return { target: storeName, run: () => Promise.resolve(installation.revokeKey(key)) };
}

/** Every router is cut from the store when the key is taken away, for longer than it may run. */
function drawUnseenRevocation(scene: DisturbanceScene): DrawnDisturbance | undefined {
  const drawn = drawRevocation(scene);
  const { installation } = scene;
  const setMode = (mode: LinkMode): void => {
    installation.routers.forEach(({ name }) => {
      installation.setLinkMode(name, mode);
    });
  };
  return (
    drawn && {
      target: drawn.target,
      run: async () => {
        setMode("cut");
        await drawn.run();
        await delay(unseenMilliseconds);
        setMode("open");
      },
    }
  );
}

function pick<Item>(items: readonly Item[], random: Random): Item {
  return items[random.getIndex(items.length)] as Item;
}

function getLength(random: Random): number {
  const spread = longestMilliseconds - shortestMilliseconds;
  return shortestMilliseconds + random.getUniform() * spread;
}
