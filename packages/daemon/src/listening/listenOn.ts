import type { Server } from "node:net";

/**
 * Starts to listen, and resolves when the server does.
 * @param server - Server that does not listen yet.
 * @param address - IPv4 address and port.
 */
export async function listenOn(server: Server, address: string): Promise<void> {
  const [host, port] = address.split(":");
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen({ host, port: Number(port) }, resolve);
  });
}
