import { loadBound, type SimulatedFleet } from "../SimulatedFleet.js";
import { Random } from "../Random.js";
import type { TrafficRequest } from "../TrafficRequest.js";
import { BaselinePolicy } from "./BaselinePolicy.js";
import type { Policy } from "./Policy.js";
import { getRendezvousOrder } from "./rendezvous.js";

const reportIntervalMilliseconds = 1000;
/** Headers and body of one report; no larger than a datagram. */
const reportBytes = 100;

/**
 * Creates the policy that picks an engine at random.
 * @param fleet - Fleet to place on.
 */
export function createRandomPolicy(fleet: SimulatedFleet): Policy {
  const random = Random.create(fleet.seed, 4);
  return BaselinePolicy.create(
    "random",
    fleet,
    (_, eligible) => eligible[random.getIndex(eligible.length)] as number,
  );
}

/**
 * Creates the policy that chooses the chat's first engine in rendezvous order.
 * @param fleet - Fleet to place on.
 */
export function createPlainHashPolicy(fleet: SimulatedFleet): Policy {
  return BaselinePolicy.create(
    "plain-hash",
    fleet,
    (request, eligible) => getRendezvousOrder(request.chat.name, eligible, 1)[0] as number,
  );
}

/**
 * Creates the policy that chooses the least loaded engine according to the engines' delayed reports.
 * Each daemon corrects them by its own requests that were placed or finished since.
 * @param fleet - Fleet to place on.
 */
export function createLeastLoadPolicy(fleet: SimulatedFleet): Policy {
  const reports = fleet.engines.map(() => 0);
  const changes = fleet.daemons.map(() => fleet.engines.map(() => 0));
  scheduleReports(fleet, (loads) => {
    loads.forEach((load, engine) => (reports[engine] = load));
    changes.forEach((row) => row.fill(0));
  });
  const enginesByRequest = new Map<string, number>();
  const addChange = (daemon: number, engine: number, change: number): void => {
    const row = changes[daemon] as number[];
    row[engine] = (row[engine] ?? 0) + change;
  };
  const choose = (request: TrafficRequest, eligible: readonly number[]): number => {
    const own = changes[request.daemon] as number[];
    const engine = getLeast(eligible, (index) => (reports[index] ?? 0) + (own[index] ?? 0));
    enginesByRequest.set(request.id, engine);
    addChange(request.daemon, engine, 1);
    return engine;
  };
  const release = ({ id, daemon }: TrafficRequest): void => {
    addChange(daemon, enginesByRequest.get(id) ?? 0, -1);
    enginesByRequest.delete(id);
  };
  const controlBytesPerSecond =
    (fleet.engines.length * reportBytes * 1000) / reportIntervalMilliseconds;
  return BaselinePolicy.create("least-load", fleet, choose, { release, controlBytesPerSecond });
}

/**
 * Creates the policy that knows the exact load of every engine without delay. It chooses the first
 * engine in rendezvous order that stays at or below the bound, else the least loaded one.
 * @param fleet - Fleet to place on.
 */
export function createOraclePolicy(fleet: SimulatedFleet): Policy {
  const getLoad = (engine: number): number => fleet.engines[engine]?.getLoad() ?? 0;
  const choose = (request: TrafficRequest, eligible: readonly number[]): number => {
    const live = fleet.engines.filter((engine) => engine.isLive);
    const total = live.reduce((sum, engine) => sum + engine.getLoad(), 1);
    const limit = Math.ceil((loadBound * total) / live.length);
    const order = getRendezvousOrder(request.chat.name, eligible, eligible.length);
    return order.find((engine) => getLoad(engine) + 1 <= limit) ?? getLeast(eligible, getLoad);
  };
  return BaselinePolicy.create("oracle", fleet, choose, { knowsExactState: true });
}

function scheduleReports(
  fleet: SimulatedFleet,
  onReport: (loads: readonly number[]) => void,
): void {
  const delay = fleet.conditions.reportDelayMilliseconds;
  for (let at = 0; at < fleet.measurementEndsAt; at += reportIntervalMilliseconds) {
    fleet.events.addEvent(at, () => {
      const loads = fleet.engines.map((engine) => engine.getLoad());
      fleet.events.addEvent(at + delay, () => {
        onReport(loads);
      });
    });
  }
}

function getLeast(engines: readonly number[], getLoad: (engine: number) => number): number {
  return engines.reduce((least, engine) => (getLoad(engine) < getLoad(least) ? engine : least));
}
