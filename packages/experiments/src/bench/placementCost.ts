import {
  Kernel,
  placementPlugin,
  type EngineCount,
  type PlaceMessage,
  type PlacementMessage,
} from "@pistachioway/kernel";

/** The fleet size at which the cost of a placement is measured. */
export interface PlacementCostSizes {
  readonly engines: number;
  readonly daemons: number;
  /** Number of placements that are timed. */
  readonly placements: number;
}

/** Cost of one placement decision in a daemon, including the creation of its reservation message. */
export interface PlacementCost extends PlacementCostSizes {
  readonly meanMicroseconds: number;
  readonly medianMicroseconds: number;
  readonly allocatedBytes: number;
}

const startTime = 1_800_000_000_000;
const runningRequestsPerEngine = 16;
const batchPlacements = 100;
const warmUpPlacements = 5000;

/**
 * Measures the time and the allocated memory of one placement in a kernel.
 * @param sizes - Fleet size and number of placements.
 */
export function measurePlacementCost(sizes: PlacementCostSizes): PlacementCost {
  const kernel = createLoadedKernel(sizes);
  runBatch(kernel, 0, warmUpPlacements);
  const microseconds: number[] = [];
  const allocations: number[] = [];
  for (let start = 0; start < sizes.placements; start += batchPlacements) {
    const heapBefore = process.memoryUsage().heapUsed;
    const batch = runBatch(kernel, warmUpPlacements + start, batchPlacements);
    allocations.push((process.memoryUsage().heapUsed - heapBefore) / batchPlacements);
    microseconds.push(batch);
  }
  return {
    ...sizes,
    meanMicroseconds: microseconds.reduce((sum, each) => sum + each, 0) / microseconds.length,
    medianMicroseconds: getMedian(microseconds),
    allocatedBytes: Math.round(getMedian(allocations)),
  };
}

/** Places and finishes requests, and returns the mean time of a placement in microseconds. */
function runBatch(kernel: Kernel, first: number, count: number): number {
  let nanoseconds = 0n;
  for (let index = first; index < first + count; index += 1) {
    const now = startTime + index;
    const message = createRequest(index);
    const startedAt = process.hrtime.bigint();
    kernel.send(placementPlugin, message, now);
    nanoseconds += process.hrtime.bigint() - startedAt;
    kernel.send(placementPlugin, { kind: "finished", requestId: message.requestId }, now);
  }
  return Number(nanoseconds) / 1000 / count;
}

function createRequest(index: number): PlaceMessage {
  return {
    kind: "place",
    requestId: `request-${String(index)}`,
    chat: `chat-${String(index)}`,
    model: "model",
    tokens: 2000,
    isFirstTurn: index % 4 === 0,
    exclude: [],
  };
}

/** Creates a kernel whose peers have reported running requests on every engine. */
function createLoadedKernel({ engines, daemons }: PlacementCostSizes): Kernel {
  const kernel = Kernel.create(1);
  const send = (message: PlacementMessage): void => {
    kernel.send(placementPlugin, message, startTime);
  };
  send({ kind: "start", daemon: getDaemonName(0), zone: "a", seed: 1 });
  send({
    kind: "view",
    daemons: Array.from({ length: daemons }, (_, index) => ({
      name: getDaemonName(index),
      zone: "a",
    })),
    engines: Array.from({ length: engines }, (_, index) => ({
      name: `engine-${String(index)}`,
      zone: "a",
      weight: 1,
      slots: 32,
      models: ["model"],
      eligible: true,
    })),
    bound: 1.25,
  });
  addPeerMessages(kernel, engines, daemons);
  return kernel;
}

function addPeerMessages(kernel: Kernel, engines: number, daemons: number): void {
  const placer = kernel.getStateOrThrow(placementPlugin).placer;
  const owned = new Map<string, EngineCount[]>();
  for (let index = 0; index < engines; index += 1) {
    const engine = placer?.getEngine(`engine-${String(index)}`);
    if (engine !== undefined) {
      const ownedCount = { engine: engine.id, count: runningRequestsPerEngine };
      owned.set(engine.owner, [...(owned.get(engine.owner) ?? []), ownedCount]);
    }
  }
  for (let peer = 1; peer < daemons; peer += 1) {
    const from = getDaemonName(peer);
    const total = Math.round((runningRequestsPerEngine * engines) / (daemons - 1));
    const message = {
      sequence: 1,
      counts: null,
      totals: [{ model: placer?.getModelId("model") ?? 0, count: total }],
      claims: owned.get(from) ?? [],
      reservations: [],
      answers: [],
      moves: [],
    };
    kernel.send(placementPlugin, { kind: "peer", from, message }, startTime);
  }
}

function getDaemonName(index: number): string {
  return `daemon-${String(index)}`;
}

function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
