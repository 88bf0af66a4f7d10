import { resetSocket } from "@pistachioway/standins";
import { once } from "node:events";
import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { setTimeout as delay } from "node:timers/promises";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("resetSocket");

/** Opens a connection and gets the sockets of both ends. */
async function open(): Promise<readonly [Socket, Socket]> {
  const server = createServer({ allowHalfOpen: true });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const accepted = once(server, "connection") as Promise<[Socket]>;
  const client = connect((server.address() as AddressInfo).port, "127.0.0.1");
  client.on("error", () => undefined);
  const [socket] = await accepted;
  server.close();
  return [socket, client];
}

/** Checks whether a socket is closed within a second. */
function isClosed(socket: Socket): Promise<boolean> {
  return Promise.race([once(socket, "close").then(() => true), delay(1_000, false)]);
}

test("resets the other side", async () => {
  const [socket, client] = await open();
  const error = once(client, "error") as Promise<[NodeJS.ErrnoException]>;
  resetSocket(socket);
  assert.is((await error)[0].code, "ECONNRESET");
});

test("closes a socket that is sending its end", async () => {
  const [socket, client] = await open();
  socket.end();
  await Promise.resolve();
  process.nextTick(() => {
    resetSocket(socket);
  });
  assert.is(await isClosed(socket), true);
  client.destroy();
});

test.run();
