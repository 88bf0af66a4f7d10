import type { Server as HttpServer } from "node:http";
import { Server } from "node:net";

/**
 * Stops to listen and leaves every open connection as it is. The `close` of an HTTP server also closes the connections
 * whose last response has been ended, even when its bytes are not all written yet.
 * @param server - Server that listens.
 */
export function stopListening(server: HttpServer): void {
  Server.prototype.close.call(server);
}
