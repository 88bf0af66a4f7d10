import { canConnect } from "@pistachioway/daemon";
import { createServer, type AddressInfo } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("canConnect");

const standstillMilliseconds = 400;

/** Lets the process stand still, as a pause of it does. */
function standStill(): void {
  const end = performance.now() + standstillMilliseconds;
  while (performance.now() < end) {
    // Timers and sockets wait.
  }
}

// Guards against an upstream that counts as gone, and its streams as broken off, because this process stood still.
test("takes a connection that opened while the process stood still for one that opened", async () => {
  const server = createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  // Timers are run before sockets are read after this.
  await new Promise(setImmediate);
  const connected = canConnect(address);
  standStill();
  assert.is(await connected, true);
  await new Promise((resolve) => server.close(resolve));
  assert.is(await canConnect(address), false);
});

test.run();
