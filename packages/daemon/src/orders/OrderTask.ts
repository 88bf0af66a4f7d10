import {
  collectText,
  observedEngineStateSchema,
  ordersPlugin,
  type EngineOrder,
  type Instant,
  type Kernel,
  type OrderResult,
  type OrdersEffect,
  type OrdersMessage,
} from "@pistachioway/kernel";
import { request } from "undici";
import { z } from "zod";
import type { HostDirectory } from "../kernel/index.js";
import type { Recorder } from "../timeline/index.js";

/** The dependencies of the task. */
export interface OrderDependencies {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly hosts: HostDirectory;
  readonly recorder: Recorder;
  /** Reads the platform now, and then reports to the plug-in when the revision was confirmed. */
  readonly confirm: () => void;
}

const callTimeoutMilliseconds = 2_000;
const okStatus = 200;
const acceptedStatus = 202;
const conflictStatus = 409;

/** The error of an engine that has seen a newer fencing token than the one of the order. */
const staleSchema = z.looseObject({ error: z.looseObject({ current: z.int() }) });

/** Owns the orders plug-in: sends orders to engines until their state matches the configuration. */
export class OrderTask {
  private constructor(private readonly dependencies: OrderDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - The dependencies of the task.
   */
  static create(dependencies: OrderDependencies): OrderTask {
    return new OrderTask(dependencies);
  }

  /**
   * Hands a message to the plug-in and carries out the effects.
   * @param message - Message to handle.
   */
  send(message: OrdersMessage): void {
    const effects = this.dependencies.kernel.send(
      ordersPlugin,
      message,
      this.dependencies.getNow(),
    );
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: OrdersEffect): void {
    switch (effect.kind) {
      case "inspect":
        void this.inspect(effect.engine);
        return;
      case "order":
        void this.order(effect.engine, effect.order, effect.sendBefore);
        return;
      case "confirm":
        this.dependencies.confirm();
        return;
      case "outdated": {
        const { engine, fencing, current } = effect;
        this.dependencies.recorder.record("order.outdated", { engine, fencing, current }, "warn");
      }
    }
  }

  private async inspect(engine: string): Promise<void> {
    const response = await this.call(engine, "GET", undefined);
    const observed =
      response?.status === okStatus
        ? observedEngineStateSchema.safeParse(response.document)
        : undefined;
    if (observed?.success !== true) {
      this.send({ kind: "inspectFailed", engine });
      return;
    }
    this.send({ kind: "inspected", engine, observed: observed.data });
  }

  private async order(engine: string, order: EngineOrder, sendBefore: Instant): Promise<void> {
    if (this.dependencies.getNow() >= sendBefore) {
      this.send({ kind: "ordered", engine, result: { kind: "lost" } });
      return;
    }
    const response = await this.call(engine, "POST", order);
    const result = toOrderResult(response);
    const { kind, fencing } = order;
    const fields = { engine, order: kind, fencing, result: result.kind };
    this.dependencies.recorder.record("order.sent", fields, "info");
    this.send({ kind: "ordered", engine, result });
  }

  private async call(
    engine: string,
    method: "GET" | "POST",
    order: EngineOrder | undefined,
  ): Promise<OrderResponse | undefined> {
    const address = this.dependencies.hosts.getAddress(engine);
    if (address === undefined) {
      return undefined;
    }
    try {
      const response = await request(`http://${address}/v1/orders`, {
        method,
        headers: { "content-type": "application/json" },
        body: order === undefined ? null : JSON.stringify(order),
        signal: AbortSignal.timeout(callTimeoutMilliseconds),
      });
      const text = await collectText(response.body);
      return { status: response.statusCode, document: text === "" ? {} : JSON.parse(text) };
    } catch {
      return undefined;
    }
  }
}

interface OrderResponse {
  readonly status: number;
  readonly document: unknown;
}

function toOrderResult(response: OrderResponse | undefined): OrderResult {
  if (response?.status === acceptedStatus || response?.status === okStatus) {
    return { kind: "accepted" };
  }
  const stale = staleSchema.safeParse(response?.document);
  return response?.status === conflictStatus && stale.success
    ? { kind: "stale", current: stale.data.error.current }
    : { kind: "lost" };
}
