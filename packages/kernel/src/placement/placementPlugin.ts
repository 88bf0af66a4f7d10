import { pluginRegistry } from "../kernel/PluginRegistry.js";
import { PlacementNotStartedError } from "../errors/index.js";
import type { PlacementEffect, PlacementMessage } from "./messages.js";
import { Placer } from "./Placer.js";

/** State of the placement plug-in; without a placer until the start message. */
export interface PlacementState {
  readonly placer: Placer | undefined;
}

/**
 * Places requests on engines: returning chats where their prefix is cached, and no engine above the
 * load bound. A placement that needs no answer of another daemon is returned in the same step.
 */
export const placementPlugin = pluginRegistry.addPlugin<
  PlacementState,
  PlacementMessage,
  PlacementEffect
>({
  name: "placement",
  createState: () => ({ placer: undefined }),
  handle(state, message, now) {
    const placer = message.kind === "start" ? Placer.create(message) : state.placer;
    if (placer === undefined) {
      throw new PlacementNotStartedError(message.kind);
    }
    const effects = placer.handle(message, now);
    return { state: state.placer === placer ? state : { placer }, effects };
  },
});
