import {
  actsPlugin,
  admissionPlugin,
  Kernel,
  membershipPlugin,
  parseConfiguration,
  placementPlugin,
  type Configuration,
  type Host,
} from "@pistachioway/kernel";
import { MissingGarbageCollectorError } from "../errors/index.js";
import type { MemoryFigures } from "./schema.js";
import { createConfigurationText } from "./sizes.js";

const startTime = 1_800_000_000_000;
const lifetimeMilliseconds = 900_000;
const sizes = { engines: 310, teams: 2_000, acts: 5_000, requests: 5_000 };
const smallEngineCount = 5;
const daemon = "daemon-1";
const zone = "z0";

/** Measures the heap that each additional team, engine, act and running request takes. */
export function measureMemory(): MemoryFigures[] {
  const smallConfiguration = parse(smallEngineCount, 1);
  const manyTeams = parse(smallEngineCount, sizes.teams);
  const manyEngines = parse(sizes.engines, 1);
  return [
    measure("team (admission)", sizes.teams, (kernel) => {
      kernel.send(admissionPlugin, { kind: "configure", teams: manyTeams.teams }, startTime);
    }),
    measure("engine (membership)", sizes.engines, (kernel) => {
      addHosts(kernel, manyEngines);
    }),
    measure("engine (placement)", sizes.engines, (kernel) => {
      addEngines(kernel, manyEngines);
    }),
    measure("act (concluded)", sizes.acts, (kernel) => {
      addActs(kernel);
    }),
    measure("running request (placement)", sizes.requests, (kernel) => {
      addEngines(kernel, smallConfiguration);
      addRequests(kernel, smallConfiguration);
    }),
  ];
}

function parse(engines: number, teams: number): Configuration {
  return parseConfiguration(createConfigurationText({ engines, teams })).unwrapOrElse((error) => {
    throw error;
  });
}

function measure(entry: string, entries: number, fill: (kernel: Kernel) => void): MemoryFigures {
  const kernel = Kernel.create(1);
  const before = getHeapBytes();
  fill(kernel);
  const bytesPerEntry = Math.round((getHeapBytes() - before) / entries);
  // Keeps the kernel reachable, so that its state is not garbage collected before the measurement.
  kernel.getStateOrThrow(placementPlugin);
  return { entry, entries, bytesPerEntry };
}

function getHeapBytes(): number {
  if (globalThis.gc === undefined) {
    throw new MissingGarbageCollectorError();
  }
  globalThis.gc();
  globalThis.gc();
  return process.memoryUsage().heapUsed;
}

function addHosts(kernel: Kernel, { engines, services }: Configuration): void {
  const send = (message: Parameters<typeof membershipPlugin.handle>[1]): void => {
    kernel.send(membershipPlugin, message, startTime);
  };
  const hosts = engines.map((engine): Host => {
    const { name } = engine;
    return { name, zone: engine.zone, role: "engine", state: "live", address: "127.0.0.1:1" };
  });
  send({ kind: "identity", daemon, zone });
  send({ kind: "configured", engines, services });
  send({ kind: "hostList", revision: 1, hosts, at: startTime });
}

function addEngines(kernel: Kernel, { engines, load }: Configuration): void {
  const serving = engines.map((engine) => ({ ...engine, eligible: true }));
  const { bound } = load;
  const daemons = [{ name: daemon, zone }];
  kernel.send(placementPlugin, { kind: "start", daemon, zone, seed: 1 }, startTime);
  kernel.send(placementPlugin, { kind: "view", daemons, engines: serving, bound }, startTime);
}

function addRequests(kernel: Kernel, { models }: Configuration): void {
  const model = models[0]?.name ?? "";
  for (let index = 0; index < sizes.requests; index += 1) {
    const id = `${daemon}.${String(index)}`;
    const common = { tokens: 1_000, isFirstTurn: true, exclude: [] };
    const message = { kind: "place" as const, requestId: id, chat: id, model, ...common };
    kernel.send(placementPlugin, message, startTime);
  }
}

function addActs(kernel: Kernel): void {
  const secret = new Uint8Array(32);
  kernel.send(actsPlugin, { kind: "start", daemon, incarnation: "i", secret }, startTime);
  for (let index = 0; index < sizes.acts; index += 1) {
    addAct(kernel, `request-${String(index)}`);
  }
}

function addAct(kernel: Kernel, requestId: string): void {
  const submit = {
    kind: "submit" as const,
    requestId,
    expiresAt: startTime + lifetimeMilliseconds,
    fingerprint: requestId,
    service: "booking",
    deadline: startTime + lifetimeMilliseconds,
    peers: [],
  };
  const [sent] = kernel.send(actsPlugin, submit, startTime);
  if (sent?.kind !== "send") {
    return;
  }
  const { actId, attemptId } = sent;
  const answer = { status: 200, headers: [], body: Buffer.from(`{"sequence":"${requestId}"}`) };
  const result = { kind: "answered" as const, answer };
  const attempted = { kind: "attempted" as const, actId, attemptId, result, hasOtherHost: false };
  kernel.send(actsPlugin, attempted, startTime);
}
