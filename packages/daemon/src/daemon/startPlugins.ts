import type { ActGuard, HostGuard, OrderGuard, RevisionGuard } from "@pistachioway/kernel";
import { randomBytes, randomInt } from "node:crypto";
import type { OrderTask } from "../orders/index.js";
import type { Context } from "./Context.js";
import type { PeerTargets } from "./PeerTasks.js";

/** The tasks whose plug-ins are started with the daemon's identity. */
export interface StartTargets extends PeerTargets {
  readonly orders: OrderTask;
}

const secretBytes = 32;
const maxSeed = 2 ** 31;

/**
 * Sends the daemon's identity, and the guards that a test switches off, to the plug-ins that need
 * them.
 * @param context - What all tasks of the daemon share.
 * @param targets - Tasks that own the plug-ins.
 */
export function startPlugins(context: Context, targets: StartTargets): void {
  const { name: daemon, zone } = context.settings.process;
  const { incarnation, disabledGuards: guards } = context;
  targets.hosts.send({
    kind: "identity",
    daemon,
    zone,
    disabledGuards: guards as HostGuard[],
  });
  targets.placement.send({ kind: "start", daemon, zone, seed: randomInt(maxSeed) });
  targets.acts.send({
    kind: "start",
    daemon,
    incarnation,
    secret: randomBytes(secretBytes),
    disabledGuards: guards as ActGuard[],
  });
  targets.configuration.send({
    kind: "start",
    daemon,
    zone,
    disabledGuards: guards as RevisionGuard[],
  });
  targets.orders.send({ kind: "start", daemon, zone, disabledGuards: guards as OrderGuard[] });
}
