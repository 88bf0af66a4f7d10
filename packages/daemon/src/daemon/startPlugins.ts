import type { ActGuard, HostGuard, OrderGuard, RevisionGuard } from "@pistachioway/kernel";
import { randomBytes, randomInt } from "node:crypto";
import type { OrderTask } from "../orders/index.js";
import type { Context } from "./Context.js";
import type { PeerTargets } from "./PeerTasks.js";

/** The tasks whose plug-ins are told who this daemon is. */
export interface StartTargets extends PeerTargets {
  readonly orders: OrderTask;
}

const secretBytes = 32;
const maxSeed = 2 ** 31;

/**
 * Tells every plug-in that needs it who this daemon is, and which guards a test switches off.
 * @param context - What every task may use.
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
