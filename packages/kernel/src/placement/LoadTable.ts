import { createEngineGroup, type EngineGroup } from "./EngineGroup.js";
import { createEngineLoad, type EngineLoad } from "./EngineLoad.js";
import { getHash } from "./hash.js";

/** The engines and groups that a daemon counts, by the hashes of their names. */
export class LoadTable {
  readonly enginesById = new Map<number, EngineLoad>();
  readonly groupsById = new Map<number, EngineGroup>();

  private constructor() {
    // Tables are made by `create`.
  }

  /** Creates an empty table. */
  static create(): LoadTable {
    return new LoadTable();
  }

  /**
   * Gets an engine, which is added without a name if the table has none.
   * @param id - Hash of the engine's name.
   */
  getEngine(id: number): EngineLoad {
    const existing = this.enginesById.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const engine = createEngineLoad(id, "");
    this.enginesById.set(id, engine);
    return engine;
  }

  /**
   * Gets an engine under its name; what was counted of it before its name was known is kept.
   * @param name - Name of the engine.
   */
  getNamedEngine(name: string): EngineLoad {
    const id = getHash(name);
    const existing = this.enginesById.get(id);
    if (existing !== undefined && existing.name === name) {
      return existing;
    }
    const engine = { ...(existing ?? createEngineLoad(id, name)), name };
    this.enginesById.set(id, engine);
    return engine;
  }

  /**
   * Gets a group, which is added without engines if the table has none.
   * @param id - Hash of the model.
   */
  getGroup(id: number): EngineGroup {
    const existing = this.groupsById.get(id);
    if (existing !== undefined) {
      return existing;
    }
    const group = createEngineGroup(id);
    this.groupsById.set(id, group);
    return group;
  }
}
