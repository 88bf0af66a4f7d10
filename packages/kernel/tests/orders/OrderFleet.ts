import {
  getFencingToken,
  ordersPlugin,
  parseConfiguration,
  type Configuration,
  type EngineOrder,
  type Instant,
  type ObservedEngineState,
  type OrderGuard,
  type OrdersEffect,
  type OrdersMessage,
  type OrdersState,
  type Revision,
} from "@pistachioway/kernel";
import { sampleText } from "../configuration/sample.js";

interface EngineModel {
  readonly checksFencing: boolean;
  state: ObservedEngineState;
}

interface SentOrder {
  readonly at: Instant;
  readonly daemon: string;
  readonly engine: string;
  readonly order: EngineOrder;
}

const daemons = [
  { name: "d0", zone: "north" },
  { name: "d1", zone: "north" },
  { name: "d2", zone: "south" },
];

/** Creates the configuration of a revision; the model's version is the revision. */
export function createConfiguration(revision: number, loadsPerMinute = 6000): Configuration {
  const engines = ["e2", "e3", "e4"]
    .map(
      (name) =>
        `[[engines]]\nname = "${name}"\nzone = "north"\nmodels = ["brief"]\nchecksFencing = ${String(name === "e2")}\n`,
    )
    .join("");
  const text = sampleText
    .replace('version = "1"', `version = "${String(revision)}"`)
    .concat(engines, `[weightStore]\nloadsPerMinute = ${String(loadsPerMinute)}\n`);
  return parseConfiguration(text).unwrapOrElse((error) => {
    throw error;
  });
}

/** Three daemons in two zones and four engines, of which e2 checks fencing tokens. */
export class OrderFleet {
  now = 0;
  readonly engines = new Map<string, EngineModel>();
  readonly states: OrdersState[] = [];
  readonly pending: OrdersEffect[][] = [[], [], []];
  readonly sent: SentOrder[] = [];
  isPlatformDown = false;
  revision = 0;
  private loadsPerMinute: number | undefined;

  private constructor() {
    ["e1", "e2", "e3", "e4"].forEach((name) => {
      const state: ObservedEngineState = { fencing: 0, role: "serve", models: [] };
      this.engines.set(name, { checksFencing: name === "e2", state });
    });
  }

  static create(disabledGuards: readonly OrderGuard[] = [], loadsPerMinute?: number): OrderFleet {
    const fleet = new OrderFleet();
    fleet.loadsPerMinute = loadsPerMinute;
    daemons.forEach(({ name, zone }, index) => {
      fleet.states.push(ordersPlugin.createState(1));
      fleet.send(index, { kind: "start", daemon: name, zone, disabledGuards });
      fleet.send(index, { kind: "peers", daemons: daemons.filter((other) => other.name !== name) });
    });
    return fleet;
  }

  publish(): void {
    this.revision += 1;
  }

  /** Sends a configuration to a daemon; by default that of the newest revision. */
  sendConfiguration(index: number, revision = this.revision, confirmedAt?: Instant): void {
    this.send(index, {
      kind: "inForce",
      configuration: createConfiguration(revision, this.loadsPerMinute),
      revision: createRevision(revision),
      confirmedAt,
    });
  }

  send(index: number, message: OrdersMessage): void {
    const state = this.states[index];
    if (state !== undefined) {
      const { effects } = ordersPlugin.handle(state, message, this.now);
      this.pending[index]?.push(...effects);
    }
  }

  /** Performs the oldest pending effect of a daemon; a lost inspection or order fails. */
  performNext(index: number, isLost = false): void {
    const effect = this.pending[index]?.shift();
    switch (effect?.kind) {
      case "inspect":
        this.inspect(index, effect.engine, isLost);
        break;
      case "order":
        this.performOrder(index, effect, isLost);
        break;
      case "confirm":
        if (!this.isPlatformDown && !isLost) {
          this.sendConfiguration(index, undefined, this.now);
        }
        break;
      default:
        break;
    }
  }

  /** Advances the clock in steps of 100 ms, sends ticks and performs all effects without faults. */
  advance(steps: number): void {
    for (let step = 0; step < steps; step += 1) {
      this.now += 100;
      this.states.forEach((_state, index) => {
        this.send(index, { kind: "tick" });
        while ((this.pending[index]?.length ?? 0) > 0) {
          this.performNext(index);
        }
      });
    }
  }

  describe(): string[] {
    return [...this.engines].map(([name, { state }]) => {
      const models = state.models.map(
        (model) => `${model.name} ${model.version} ${model.adapters.join()}`,
      );
      return `${name} ${models.join()}`;
    });
  }

  private inspect(index: number, engine: string, isLost: boolean): void {
    const state = this.engines.get(engine)?.state;
    this.send(
      index,
      state === undefined || isLost
        ? { kind: "inspectFailed", engine }
        : { kind: "inspected", engine, observed: structuredClone(state) },
    );
  }

  private performOrder(
    index: number,
    { engine, order, sendBefore }: Extract<OrdersEffect, { kind: "order" }>,
    isLost: boolean,
  ): void {
    const model = this.engines.get(engine);
    if (model === undefined || isLost || sendBefore < this.now) {
      this.send(index, { kind: "ordered", engine, result: { kind: "lost" } });
      return;
    }
    const current = model.state.fencing;
    if (model.checksFencing && order.fencing < current) {
      this.send(index, { kind: "ordered", engine, result: { kind: "stale", current } });
      return;
    }
    this.sent.push({ at: this.now, daemon: `d${String(index)}`, engine, order });
    model.state = applyOrder(model.state, order);
    this.send(index, { kind: "ordered", engine, result: { kind: "accepted" } });
  }
}

function createRevision(revision: number): Revision {
  return { generation: 2, revision, digest: "0".repeat(64) };
}

/** Gets the fencing token of one of the fleet's revisions. */
export function getRevisionFencing(revision: number): number {
  return getFencingToken(createRevision(revision));
}

function applyOrder(state: ObservedEngineState, order: EngineOrder): ObservedEngineState {
  const { fencing, role = state.role, model: name, version = "", adapter } = order;
  const others = state.models.filter((model) => model.name !== name);
  const previous = state.models.find((model) => model.name === name);
  if (name === undefined) {
    return { ...state, fencing, role };
  }
  const adapters = [...(previous?.adapters ?? []), ...(adapter === undefined ? [] : [adapter])];
  const model = {
    name,
    version: version || (previous?.version ?? ""),
    adapters,
    state: "ready" as const,
  };
  return { fencing, role, models: [...others, model] };
}
