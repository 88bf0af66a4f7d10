import { Result, type Unit } from "true-myth";
import type { Order } from "./schema.js";

/** A model that is loaded or loading on the engine. */
export interface EngineModel {
  readonly name: string;
  version: string;
  readonly adapters: string[];
  state: "loading" | "ready";
}

/** An order was refused because its fencing token is lower than that of the last one. */
export interface StaleFencingToken {
  readonly type: "stale-fencing";
  readonly current: number;
}

const firstVersion = "1";

/** The state that orders change: models, adapters, versions, the role and the fencing token. */
export class Inventory {
  private readonly models: EngineModel[];
  private readonly executedOrders: Order[] = [];
  private fencing = 0;
  private role = "serve";

  private constructor(
    modelNames: readonly string[],
    private readonly checksFencing: boolean,
    private readonly modelLoadMilliseconds: number,
  ) {
    this.models = modelNames.map((name) => createModel(name, "ready"));
  }

  /**
   * Creates an inventory whose models are ready.
   * @param modelNames - Names of the models.
   * @param checksFencing - Whether an order with an outdated fencing token is refused.
   * @param modelLoadMilliseconds - Time to load a model.
   */
  static create(
    modelNames: readonly string[],
    checksFencing: boolean,
    modelLoadMilliseconds: number,
  ): Inventory {
    return new Inventory(modelNames, checksFencing, modelLoadMilliseconds);
  }

  /**
   * Checks whether a model is ready.
   * @param name - Name of the model.
   */
  isReady(name: string): boolean {
    return this.models.some((model) => model.name === name && model.state === "ready");
  }

  /** Gets the names of the models that are ready. */
  getReadyModels(): string[] {
    return this.models.filter(({ state }) => state === "ready").map(({ name }) => name);
  }

  /** Gets the fencing token of the last executed order. */
  getFencingToken(): number {
    return this.fencing;
  }

  /** Gets the fencing token, the role and the models. */
  getState(): { fencing: number; role: string; models: readonly EngineModel[] } {
    return { fencing: this.fencing, role: this.role, models: this.models };
  }

  /** Gets every executed order, the oldest first. */
  getExecutedOrders(): readonly Order[] {
    return this.executedOrders;
  }

  /**
   * Executes an order, unless the engine checks fencing tokens and the order's is outdated.
   * @param order - Order to execute.
   */
  execute(order: Order): Result<Unit, StaleFencingToken> {
    if (this.checksFencing && order.fencing < this.fencing) {
      return Result.err({ type: "stale-fencing", current: this.fencing });
    }
    this.fencing = order.fencing;
    this.executedOrders.push(order);
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
    const model = this.getOrLoadModel(order.model);
    if (order.version !== undefined && order.version !== model.version) {
      model.version = order.version;
      this.startLoading(model);
    }
    if (order.adapter !== undefined && !model.adapters.includes(order.adapter)) {
      model.adapters.push(order.adapter);
    }
  }

  private getOrLoadModel(name: string): EngineModel {
    const found = this.models.find((model) => model.name === name);
    if (found !== undefined) {
      return found;
    }
    const model = createModel(name, "loading");
    this.models.push(model);
    this.startLoading(model);
    return model;
  }

  private startLoading(model: EngineModel): void {
    model.state = "loading";
    const timer = setTimeout(() => {
      model.state = "ready";
    }, this.modelLoadMilliseconds);
    timer.unref();
  }
}

function createModel(name: string, state: EngineModel["state"]): EngineModel {
  return { name, version: firstVersion, adapters: [], state };
}
