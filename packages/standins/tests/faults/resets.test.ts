import { Link } from "@pistachioway/standins";
import { connect, createServer, type AddressInfo, type Server, type Socket } from "node:net";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const connectionCount = 50;
const bytes = "a piece";
const test = suite("Link: resets");

/** How a socket ended, and what it read before. */
interface SeenEnd {
  readonly text: string;
  readonly isReset: boolean;
}

/** Reads a socket to its end; an empty write takes the error of a reset that Node.js reports as an end. */
async function readToEnd(socket: Socket): Promise<SeenEnd> {
  let text = "";
  socket.on("data", (chunk: Buffer) => (text += chunk.toString()));
  socket.on("error", () => undefined);
  socket.on("end", () => {
    if (socket.writable) {
      socket.end("");
    }
  });
  await new Promise((resolve) => socket.once("close", resolve));
  return { text, isReset: socket.errored !== null };
}

async function listen(accept: (socket: Socket) => void): Promise<Server> {
  const server = createServer({ allowHalfOpen: true }, accept);
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return server;
}

/** Opens connections through a link one after the other, and gets how each ends at the client and at the target. */
async function play(
  handleClient: (socket: Socket) => void,
  handleTarget: (socket: Socket) => void,
): Promise<{ readonly client: readonly SeenEnd[]; readonly target: readonly SeenEnd[] }> {
  const atTarget: Promise<SeenEnd>[] = [];
  const server = await listen((socket) => {
    atTarget.push(readToEnd(socket));
    handleTarget(socket);
  });
  const { port } = server.address() as AddressInfo;
  const link = Link.create("s", `127.0.0.1:${String(port)}`);
  const linkPort = Number((await link.listen()).split(":")[1]);
  const client: SeenEnd[] = [];
  for (let count = 0; count < connectionCount; count += 1) {
    const socket = connect({ port: linkPort, host: "127.0.0.1", allowHalfOpen: true });
    const seen = readToEnd(socket);
    handleClient(socket);
    client.push(await seen);
  }
  const target = await Promise.all(atTarget);
  await link.close();
  server.close();
  return { client, target };
}

function repeat(end: SeenEnd): readonly SeenEnd[] {
  return Array.from({ length: connectionCount }, () => end);
}

/** Sends the piece at the first byte, and resets the connection at once. */
function resetBehindBytes(socket: Socket): void {
  socket.once("data", () => {
    socket.write(bytes);
    socket.resetAndDestroy();
  });
}

function endBehindBytes(socket: Socket): void {
  socket.once("data", () => socket.end(bytes));
}

function ask(socket: Socket): void {
  socket.write("?");
}

// Guards against a soak whose links turn an upstream's reset into an end in order, so that routers get faults that no network has.
test("passes on a reset of the target right behind bytes as a reset", async () => {
  const { client } = await play(ask, resetBehindBytes);
  assert.equal(client, repeat({ text: bytes, isReset: true }));
});

// Guards against ends in order that the check for resets breaks.
test("passes on an end of the target right behind bytes as an end", async () => {
  const { client, target } = await play(ask, endBehindBytes);
  assert.equal(client, repeat({ text: bytes, isReset: false }));
  assert.equal(target, repeat({ text: "?", isReset: false }));
});

// Guards against a link that turns a caller's reset into the end of a request.
test("passes on a reset of the client right behind bytes as a reset", async () => {
  const { target } = await play(resetBehindBytes, ask);
  assert.equal(target, repeat({ text: bytes, isReset: true }));
});

test.run();
