import type { FleetView, MemoryBudget } from "@pistachioway/kernel";
import type { ReachabilityTask, ReadPacer } from "../exchange/index.js";
import type { PeerStateTask } from "../fleet/index.js";
import type { AdmissionQueues, TickListeners } from "../ingress/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import type { RegistryTask } from "../registry/index.js";
import type { StreamDirectory } from "../streams/index.js";
import { readMonotonicClock } from "./clocks.js";
import { PeriodicTasks } from "./PeriodicTasks.js";
import { runHousekeeping } from "./runHousekeeping.js";
import { StallLog } from "./StallLog.js";
import type { TaskWatch } from "../lifecycle/TaskWatch.js";
import type { TickLag } from "./TickLag.js";
import type { UpstreamStarts } from "./UpstreamStarts.js";

/** What the periodic tasks of a router work on. */
export interface PeriodicTasksContext {
  readonly reachability: ReachabilityTask;
  /** Functions of requests in flight. */
  readonly requestTicks: TickListeners;
  readonly admission: AdmissionQueues;
  readonly registry: RegistryTask;
  readonly view: FleetView;
  readonly streams: StreamDirectory;
  readonly starts: UpstreamStarts;
  readonly peerStates: PeerStateTask;
  readonly memory: MemoryBudget;
  readonly pacer: ReadPacer;
  readonly lag: TickLag;
  readonly watch: TaskWatch;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Interval of the timer that drives all periodic tasks. */
export const tickMilliseconds = 100;
const ticksPerHousekeeping = 2;
const ticksPerPeerCheck = 3;

/**
 * Creates the periodic tasks of a router, which are not started.
 * @param context - What they work on.
 */
export function createPeriodicTasks(context: PeriodicTasksContext): PeriodicTasks {
  const { reachability, requestTicks, admission, peerStates } = context;
  const { memory, pacer, lag, watch, record } = context;
  const checkUpstreams = (): void => {
    reachability.check();
  };
  const tickRequests = (): void => {
    requestTicks.run();
  };
  const advanceQueues = (): void => {
    admission.tick();
  };
  const doHousekeeping = (): void => {
    runHousekeeping(context, readMonotonicClock());
  };
  const checkPeers = (): Promise<void> => peerStates.check();
  return PeriodicTasks.create({
    tickMilliseconds,
    tasks: [
      { name: "upstream-checks", ticksPerTurn: 1, run: checkUpstreams },
      { name: "request-ticks", ticksPerTurn: 1, run: tickRequests },
      { name: "admission", ticksPerTurn: 1, run: advanceQueues },
      { name: "housekeeping", ticksPerTurn: ticksPerHousekeeping, run: doHousekeeping },
      { name: "peer-states", ticksPerTurn: ticksPerPeerCheck, run: checkPeers },
    ],
    lag,
    stalls: StallLog.create({ memory, pacer, record }),
    watch,
  });
}
