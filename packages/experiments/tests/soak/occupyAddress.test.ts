import { once } from "node:events";
import { createSocket } from "node:dgram";
import { createServer } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { occupyAddress } from "../../dist/soak/occupyAddress.js";

const test = suite("soak: occupyAddress");

const host = "127.0.0.1";

/** Binds an address; resolves with the error code, or "bound" once it is free again. */
async function bind(protocol: "tcp" | "udp", port: number): Promise<string> {
  const server = protocol === "tcp" ? createServer() : createSocket("udp4");
  // `once` rejects with an error event.
  const outcome = once(server, "listening").then(
    () => "bound",
    (error: unknown) => (error as NodeJS.ErrnoException).code ?? "",
  );
  if ("bind" in server) {
    server.bind(port, host);
  } else {
    server.listen(port, host);
  }
  const text = await outcome;
  if (text === "bound") {
    server.close();
  }
  return text;
}

async function pickPort(): Promise<number> {
  const server = createServer().listen(0, host);
  await once(server, "listening");
  const address = server.address();
  server.close();
  await once(server, "close");
  return typeof address === "object" && address !== null ? address.port : 0;
}

for (const protocol of ["tcp", "udp"] as const) {
  test(`has a ${protocol} address until it is released`, async () => {
    const port = await pickPort();
    const release = await occupyAddress(protocol, `${host}:${String(port)}`);
    const whileHeld = await bind(protocol, port);
    await release();
    assert.is(whileHeld, "EADDRINUSE");
    assert.is(await bind(protocol, port), "bound");
  });
}

test.run();
