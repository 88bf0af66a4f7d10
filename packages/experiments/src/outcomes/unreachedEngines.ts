import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { engineHost } from "./hosts.js";

/**
 * Loaded into the process of a router that reaches no engine, whatever addresses it learns: each connection to an engine
 * fails while it is opened.
 */
subscribe("net.client.socket", (message) => {
  const { socket } = message as { readonly socket: Socket };
  socket.once("connectionAttempt", (host: string) => {
    if (host === engineHost) {
      // The attempt goes on after this event, and needs the socket until then.
      process.nextTick(() => socket.destroy(new Error(`host ${engineHost} is unreachable`)));
    }
  });
});
