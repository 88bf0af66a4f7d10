import {
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

/** What the task works with. */
export interface OrderParts {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly hosts: HostDirectory;
  readonly recorder: Recorder;
  /** Reads the platform now, and then tells the plug-in when the revision was confirmed. */
  readonly confirm: () => void;
}

const callTimeoutMilliseconds = 2_000;
const okStatus = 200;
const acceptedStatus = 202;
const staleStatus = 409;

const staleSchema = z.looseObject({ error: z.looseObject({ current: z.int() }) });

/** Owns the orders plug-in: brings engines to what the configuration says. */
export class OrderTask {
  private constructor(private readonly parts: OrderParts) {}

  /**
   * Creates the task.
   * @param parts - What the task works with.
   */
  static create(parts: OrderParts): OrderTask {
    return new OrderTask(parts);
  }

  /**
   * Hands a message to the plug-in and carries out the effects.
   * @param message - Message to handle.
   */
  send(message: OrdersMessage): void {
    const effects = this.parts.kernel.send(ordersPlugin, message, this.parts.getNow());
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
        this.parts.confirm();
        return;
      case "outdated": {
        const { engine, fencing, current } = effect;
        this.parts.recorder.record("order.outdated", { engine, fencing, current }, "warn");
      }
    }
  }

  private async inspect(engine: string): Promise<void> {
    const answer = await this.call(engine, "GET", undefined);
    const observed =
      answer?.status === okStatus
        ? observedEngineStateSchema.safeParse(answer.document)
        : undefined;
    if (observed?.success !== true) {
      this.send({ kind: "inspectFailed", engine });
      return;
    }
    this.send({ kind: "inspected", engine, observed: observed.data });
  }

  private async order(engine: string, order: EngineOrder, sendBefore: Instant): Promise<void> {
    if (this.parts.getNow() >= sendBefore) {
      this.send({ kind: "ordered", engine, result: { kind: "lost" } });
      return;
    }
    const answer = await this.call(engine, "POST", order);
    const result = toOrderResult(answer);
    const { kind, fencing } = order;
    const fields = { engine, order: kind, fencing, result: result.kind };
    this.parts.recorder.record("order.sent", fields, "info");
    this.send({ kind: "ordered", engine, result });
  }

  private async call(
    engine: string,
    method: "GET" | "POST",
    order: EngineOrder | undefined,
  ): Promise<OrderAnswer | undefined> {
    const address = this.parts.hosts.getAddress(engine);
    if (address === undefined) {
      return undefined;
    }
    try {
      const answer = await request(`http://${address}/v1/orders`, {
        method,
        headers: { "content-type": "application/json" },
        body: order === undefined ? null : JSON.stringify(order),
        signal: AbortSignal.timeout(callTimeoutMilliseconds),
      });
      const text = await answer.body.text();
      return { status: answer.statusCode, document: text === "" ? {} : JSON.parse(text) };
    } catch {
      return undefined;
    }
  }
}

interface OrderAnswer {
  readonly status: number;
  readonly document: unknown;
}

function toOrderResult(answer: OrderAnswer | undefined): OrderResult {
  if (answer?.status === acceptedStatus || answer?.status === okStatus) {
    return { kind: "accepted" };
  }
  const stale = staleSchema.safeParse(answer?.document);
  return answer?.status === staleStatus && stale.success
    ? { kind: "stale", current: stale.data.error.current }
    : { kind: "lost" };
}
