import { once } from "node:events";
import type { Server } from "node:net";

/**
 * Starts to listen, and resolves when the server does. A server that could not listen can be told to again.
 * @param server - Server that does not listen.
 * @param address - IPv4 address and port.
 * @param onError - Called with each later error, such as that of a connection that cannot be accepted.
 */
export async function listenOn(
  server: Server,
  address: string,
  onError: (error: Error) => void,
): Promise<void> {
  const [host, port] = address.split(":");
  server.listen({ host, port: Number(port) });
  await once(server, "listening");
  server.on("error", onError);
}
