import { Result, type Unit } from "true-myth";
import type { Order } from "./schema.js";

/** A model that the engine carries. */
export interface LoadedModel {
  readonly name: string;
  version: string;
  readonly adapters: string[];
  state: "loading" | "ready";
}

/** An order was refused since its fencing number is older than one seen before. */
export interface StaleFencing {
  readonly type: "stale-fencing";
  readonly current: number;
}

const firstVersion = "1";

/** What orders change: models, adapters, versions, the role and the fencing number. */
export class Inventory {
  private readonly models: LoadedModel[];
  private readonly orders: Order[] = [];
  private fencing = 0;
  private role = "serve";

  private constructor(
    modelNames: readonly string[],
    private readonly checksFencing: boolean,
    private readonly loadMilliseconds: number,
  ) {
    this.models = modelNames.map((name) => createModel(name, "ready"));
  }

  /**
   * Creates an inventory with models that are ready.
   * @param modelNames - Names of the models.
   * @param checksFencing - Whether an order with an old fencing number is refused.
   * @param loadMilliseconds - Time that a model takes to load.
   */
  static create(
    modelNames: readonly string[],
    checksFencing: boolean,
    loadMilliseconds: number,
  ): Inventory {
    return new Inventory(modelNames, checksFencing, loadMilliseconds);
  }

  /**
   * Whether a model can be served.
   * @param name - Name of the model.
   */
  isReady(name: string): boolean {
    return this.models.some((model) => model.name === name && model.state === "ready");
  }

  /** Gets the names of the models that are ready. */
  getReadyModels(): string[] {
    return this.models.filter(({ state }) => state === "ready").map(({ name }) => name);
  }

  /** Gets the fencing number of the last order carried out. */
  getFencing(): number {
    return this.fencing;
  }

  /** Gets what the engine carries. */
  getCarried(): { fencing: number; role: string; models: readonly LoadedModel[] } {
    return { fencing: this.fencing, role: this.role, models: this.models };
  }

  /** Gets every order carried out, the oldest first. */
  getOrders(): readonly Order[] {
    return this.orders;
  }

  /**
   * Carries out an order, unless its fencing number is old and the engine checks it.
   * @param order - Order to carry out.
   */
  carryOut(order: Order): Result<Unit, StaleFencing> {
    if (this.checksFencing && order.fencing < this.fencing) {
      return Result.err({ type: "stale-fencing", current: this.fencing });
    }
    this.fencing = order.fencing;
    this.orders.push(order);
    this.apply(order);
    return Result.ok();
  }

  private apply(order: Order): void {
    if (order.role !== undefined) {
      this.role = order.role;
    }
    if (order.model === undefined) {
      return;
    }
    const model = this.getModelOrLoad(order.model);
    if (order.version !== undefined && order.version !== model.version) {
      model.version = order.version;
      this.load(model);
    }
    if (order.adapter !== undefined && !model.adapters.includes(order.adapter)) {
      model.adapters.push(order.adapter);
    }
  }

  private getModelOrLoad(name: string): LoadedModel {
    const found = this.models.find((model) => model.name === name);
    if (found !== undefined) {
      return found;
    }
    const model = createModel(name, "loading");
    this.models.push(model);
    this.load(model);
    return model;
  }

  private load(model: LoadedModel): void {
    model.state = "loading";
    const timer = setTimeout(() => {
      model.state = "ready";
    }, this.loadMilliseconds);
    timer.unref();
  }
}

function createModel(name: string, state: LoadedModel["state"]): LoadedModel {
  return { name, version: firstVersion, adapters: [], state };
}
