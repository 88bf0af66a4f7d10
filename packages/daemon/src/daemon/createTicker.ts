import { tickPeriodMilliseconds, type Instant } from "@pistachioway/kernel";
import type { ActTask } from "../acts/index.js";
import type { ConfigurationTask } from "../configuration/index.js";
import type { AdmissionTask, HostDirectory, PlacementTask } from "../kernel/index.js";
import type { OrderTask } from "../orders/index.js";
import type { PeerTasks } from "./PeerTasks.js";
import { Ticker } from "./Ticker.js";

const actsTickIntervalMilliseconds = 500;
const neighbourCheckIntervalMilliseconds = 250;
const revisionsTickIntervalMilliseconds = 100;
const bootstrapIntervalMilliseconds = 500;

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
 * @param getNow - Reads the clock.
 */
export function createTicker(targets: TickTargets, getNow: () => Instant): Ticker {
  const ticker = Ticker.create(getNow);
  ticker.addPeriodic(tickPeriodMilliseconds, (at) => {
    targets.hosts.send({ kind: "tick", at });
  });
  ticker.addPeriodic(0, (at) => {
    targets.peers.gossip.tick();
    targets.placement.send({ kind: "tick" });
    targets.admission.send({ kind: "tick", at });
  });
  ticker.addPeriodic(actsTickIntervalMilliseconds, () => {
    targets.acts.send({ kind: "tick" });
  });
  ticker.addPeriodic(neighbourCheckIntervalMilliseconds, () => {
    targets.peers.checkUnresponsiveNeighbours();
  });
  ticker.addPeriodic(revisionsTickIntervalMilliseconds, () => {
    targets.configuration.send({ kind: "tick" });
    targets.orders.send({ kind: "tick" });
  });
  ticker.addPeriodic(bootstrapIntervalMilliseconds, () => {
    if (targets.configuration.getInForce() === undefined) {
      targets.peers.bootstrap();
    }
  });
  return ticker;
}
