import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";

/** Listeners of a router whose address another socket may have when the router starts. */
export const occupiedListeners = [
  { port: "callers", protocol: "tcp" },
  { port: "readiness", protocol: "tcp" },
  { port: "operations", protocol: "tcp" },
  { port: "datagrams", protocol: "tcp" },
  { port: "datagrams", protocol: "udp" },
] as const;

/**
 * Binds an address that nobody has.
 * @param protocol - TCP or UDP.
 * @param address - IPv4 address and port.
 * @returns A function that frees the address.
 */
export async function occupyAddress(
  protocol: "tcp" | "udp",
  address: string,
): Promise<() => Promise<void>> {
  const [host, portText] = address.split(":");
  const port = Number(portText);
  if (protocol === "udp") {
    const socket = createSocket("udp4");
    socket.bind(port, host);
    await once(socket, "listening");
    return async () => {
      const closed = once(socket, "close");
      socket.close();
      await closed;
    };
  }
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.destroy();
  });
  server.listen(port, host);
  await once(server, "listening");
  return async () => {
    const closed = once(server, "close");
    server.close();
    await closed;
  };
}
