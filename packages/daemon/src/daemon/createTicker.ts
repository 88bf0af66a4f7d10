import { tickPeriodMilliseconds, type Instant } from "@pistachioway/kernel";
import type { ActTask } from "../acts/index.js";
import type { ConfigurationTask } from "../configuration/index.js";
import type { TaskWatch } from "../lifecycle/TaskWatch.js";
import type { AdmissionTask, HostDirectory, PlacementTask } from "../kernel/index.js";
import type { OrderTask } from "../orders/index.js";
import type { PeerTasks } from "./PeerTasks.js";
import { Ticker } from "./Ticker.js";

const actsTickIntervalMilliseconds = 500;
const neighbourCheckIntervalMilliseconds = 250;
const revisionsTickIntervalMilliseconds = 100;
const bootstrapIntervalMilliseconds = 500;
/** The loops that are watched complete a turn in 31 s; the watch allows 300 of these intervals. */
const watchIntervalMilliseconds = 200;

/** The tasks that receive ticks. */
export interface TickTargets {
  readonly hosts: HostDirectory;
  readonly peers: PeerTasks;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly acts: ActTask;
  readonly configuration: ConfigurationTask;
  readonly orders: OrderTask;
}

/**
 * Creates a ticker that sends ticks to every plug-in, at the interval that the plug-in needs.
 * @param targets - Tasks of the daemon.
 * @param watch - Watches the tasks of the process.
 * @param getNow - Reads the clock.
 */
export function createTicker(
  targets: TickTargets,
  watch: TaskWatch,
  getNow: () => Instant,
): Ticker {
  const ticker = Ticker.create(getNow, (name, turn) => {
    watch.run(name, turn);
  });
  ticker.addPeriodic("watch", watchIntervalMilliseconds, () => {
    watch.recordTick();
  });
  ticker.addPeriodic("membership", tickPeriodMilliseconds, (at) => {
    targets.hosts.send({ kind: "tick", at });
  });
  ticker.addPeriodic("gossip", 0, () => {
    targets.peers.gossip.tick();
  });
  ticker.addPeriodic("placement", 0, () => {
    targets.placement.send({ kind: "tick" });
  });
  ticker.addPeriodic("admission", 0, (at) => {
    targets.admission.send({ kind: "tick", at });
  });
  ticker.addPeriodic("acts", actsTickIntervalMilliseconds, () => {
    targets.acts.send({ kind: "tick" });
  });
  ticker.addPeriodic("neighbours", neighbourCheckIntervalMilliseconds, () => {
    targets.peers.checkUnresponsiveNeighbours();
  });
  ticker.addPeriodic("configuration", revisionsTickIntervalMilliseconds, () => {
    targets.configuration.send({ kind: "tick" });
  });
  ticker.addPeriodic("orders", revisionsTickIntervalMilliseconds, () => {
    targets.orders.send({ kind: "tick" });
  });
  ticker.addPeriodic("bootstrap", bootstrapIntervalMilliseconds, () => {
    if (targets.configuration.getInForce() === undefined) {
      targets.peers.bootstrap();
    }
  });
  return ticker;
}
