import { DuplicatePluginError } from "../errors/index.js";
import type { Plugin } from "./Plugin.js";

type AnyPlugin = Plugin<unknown, never, unknown>;

/** Collects plug-ins by name; each adds itself when its module is loaded. */
export class PluginRegistry {
  private readonly pluginsByName = new Map<string, AnyPlugin>();

  private constructor() {
    // Instances are created with `create`.
  }

  /** Creates an empty registry. */
  static create(): PluginRegistry {
    return new PluginRegistry();
  }

  /**
   * Adds a plug-in and returns it.
   * @param plugin - Plug-in to add.
   * @throws DuplicatePluginError when another plug-in has the same name.
   */
  addPlugin<State, Message, Effect>(
    plugin: Plugin<State, Message, Effect>,
  ): Plugin<State, Message, Effect> {
    if (this.pluginsByName.has(plugin.name)) {
      throw new DuplicatePluginError(plugin.name);
    }
    this.pluginsByName.set(plugin.name, plugin);
    return plugin;
  }

  /** Gets the registered plug-ins in the order of registration. */
  getPlugins(): readonly AnyPlugin[] {
    return [...this.pluginsByName.values()];
  }
}

/** The registry that every kernel uses; plug-ins add themselves to it. */
export const pluginRegistry = PluginRegistry.create();
