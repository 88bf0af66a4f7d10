import { createEngineGroup, type EngineGroup } from "./EngineGroup.js";
import { createEngineLoad, type EngineLoad } from "./EngineLoad.js";
import { getHash } from "../hashing/index.js";

/** The engines and groups that a daemon counts, by the hashes of the names. */
export class LoadTable {
  readonly enginesById = new Map<number, EngineLoad>();
  readonly groupsById = new Map<number, EngineGroup>();

  private constructor() {
    // Created by the static method.
  }

  /** Creates an empty table. */
  static create(): LoadTable {
    return new LoadTable();
  }

  /**
   * Gets an engine. Adds it without a name if it is missing.
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
   * Gets an engine by name. Adds it if it is missing, and keeps the counts that were reported
   * before its name was known.
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
   * Gets a group. Adds it without engines if it is missing.
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
