import { DuplicatePluginError } from "../errors/index.js";
import type { Plugin } from "./Plugin.js";

type AnyPlugin = Plugin<unknown, never, unknown>;

/** The plug-ins known to the kernel; each registers itself when its module is loaded. */
export class PluginRegistry {
  private readonly pluginsByName = new Map<string, AnyPlugin>();

  private constructor() {
    // Created through the static method.
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

/** The registry that the kernel's own plug-ins register with. */
export const pluginRegistry = PluginRegistry.create();
