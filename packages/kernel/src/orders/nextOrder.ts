import type { Configuration, Engine, Model } from "../configuration/index.js";
import type { EngineOrder, ObservedEngineState, ObservedModel } from "./schema.js";

/**
 * Gets the next order that brings an engine closer to its configuration. Undefined when the engine
 * matches the configuration, and for adapters while the model is loading.
 * @param configuration - Configuration in force.
 * @param engine - Configuration of the engine.
 * @param observed - State that the engine reported.
 * @param fencing - Fencing token of the configuration.
 */
export function getNextOrder(
  configuration: Configuration,
  engine: Engine,
  observed: ObservedEngineState,
  fencing: number,
): EngineOrder | undefined {
  const models = configuration.models.filter(({ name }) => engine.models.includes(name));
  if (observed.role !== engine.role) {
    return createRoleOrder(engine, fencing);
  }
  for (const model of models) {
    const order = getModelOrder(engine, model, observed, fencing);
    if (order !== undefined) {
      return order;
    }
  }
  // Changes only the fencing token, so that the engine refuses orders of older revisions.
  const isBehind = engine.checksFencing && observed.fencing < fencing;
  return isBehind ? createRoleOrder(engine, fencing) : undefined;
}

/** Checks whether an order makes the engine load weights from the weight store. */
export function isLoadOrder(order: EngineOrder): boolean {
  return order.kind === "load" || order.kind === "version";
}

function getModelOrder(
  engine: Engine,
  model: Model,
  observed: ObservedEngineState,
  fencing: number,
): EngineOrder | undefined {
  const observedModel = observed.models.find(({ name }) => name === model.name);
  const { version } = model;
  if (observedModel === undefined) {
    return { kind: "load", model: model.name, version, fencing };
  }
  if (observedModel.version !== version) {
    return { kind: "version", model: model.name, version, fencing };
  }
  return getAdapterOrder(engine, model, observedModel, fencing);
}

function getAdapterOrder(
  engine: Engine,
  model: Model,
  observedModel: ObservedModel,
  fencing: number,
): EngineOrder | undefined {
  const wanted = model.adapters.filter((name) => engine.adapters?.includes(name) ?? true);
  const adapter = wanted.find((name) => !observedModel.adapters.includes(name));
  const isReady = observedModel.state === "ready";
  return adapter !== undefined && isReady
    ? { kind: "adapter", model: model.name, adapter, fencing }
    : undefined;
}

function createRoleOrder(engine: Engine, fencing: number): EngineOrder {
  return { kind: "role", role: engine.role, fencing };
}
