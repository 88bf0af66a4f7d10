import { UnknownPluginError } from "../errors/index.js";
import type { Instant, Plugin } from "./Plugin.js";
import { pluginRegistry } from "./PluginRegistry.js";

/** Holds the state of every registered plug-in and dispatches messages to them. */
export class Kernel {
  private readonly statesByName = new Map<string, unknown>();

  private constructor(seed: number) {
    for (const plugin of pluginRegistry.getPlugins()) {
      this.statesByName.set(plugin.name, plugin.createState(seed));
    }
  }

  /**
   * Creates a kernel with a fresh state for every registered plug-in.
   * @param seed - Seed for every pseudo-random choice.
   */
  static create(seed: number): Kernel {
    return new Kernel(seed);
  }

  /**
   * Sends a message to a plug-in and returns the effects to carry out.
   * @param plugin - Plug-in that handles the message.
   * @param message - Message to handle.
   * @param now - Time of the message.
   * @throws UnknownPluginError when the plug-in is not registered.
   */
  send<State, Message, Effect>(
    plugin: Plugin<State, Message, Effect>,
    message: Message,
    now: Instant,
  ): readonly Effect[] {
    const step = plugin.handle(this.getStateOrThrow(plugin), message, now);
    this.statesByName.set(plugin.name, step.state);
    return step.effects;
  }

  /**
   * Gets the current state of a plug-in, which the caller must not change.
   * @param plugin - Plug-in whose state to get.
   * @throws UnknownPluginError when the plug-in is not registered.
   */
  getStateOrThrow<State, Message, Effect>(plugin: Plugin<State, Message, Effect>): State {
    if (!this.statesByName.has(plugin.name)) {
      throw new UnknownPluginError(plugin.name);
    }
    return this.statesByName.get(plugin.name) as State;
  }
}
