import { connect, createServer, type Server } from "node:net";
import { once } from "node:events";
import { packHealthReports, type HealthReport } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DatagramSocket, PeerClient, PeerListener } from "../../dist/peers/index.js";

const key = "0123456789abcdef0123456789abcdef";
const now = 1_764_800_000_000;

/** IPv4 and TCP headers with timestamps, of a request, its answer and the last acknowledgement. */
const segmentBytes = 3 * 52;

const reports: HealthReport[] = Array.from({ length: 4 }, (_, index) => {
  return { host: `engine-${String(index)}`, state: "leaving", version: now, incarnation: now };
});

/** Relays connections to an address and counts the bytes in both directions. */
async function createRelay(address: string): Promise<{ server: Server; getBytes: () => number }> {
  let bytes = 0;
  const server = createServer((client) => {
    const [host = "", port = ""] = address.split(":");
    const upstream = connect(Number(port), host);
    client.on("data", (chunk) => (bytes += chunk.length));
    upstream.on("data", (chunk) => (bytes += chunk.length));
    client.on("error", () => upstream.destroy());
    upstream.on("error", () => client.destroy());
    client.pipe(upstream).pipe(client);
  }).listen(0, "127.0.0.1");
  await once(server, "listening");
  return { server, getBytes: () => bytes };
}

/** Gets the bytes of a call on an open connection whose answer contains the health reports. */
async function getCallBytes(): Promise<number> {
  const refuse = (): Promise<never> => Promise.reject(new RangeError("not asked for"));
  const listener = await PeerListener.create("127.0.0.1:0", {
    daemon: "entry-b",
    key,
    bodyBytes: 1_048_576,
    getNow: () => now,
    isPeer: () => true,
    handlers: {
      forwardAct: refuse,
      adoptActs: refuse,
      getConfiguration: refuse,
      getRevisionAnnouncement: () => Promise.reject(new RangeError("not asked")),
      getHosts: refuse,
      getHealthReports: () => Promise.resolve(reports),
    },
    onDropped: () => undefined,
    onError: () => undefined,
  });
  const { server, getBytes } = await createRelay(listener.getAddress());
  const { port } = server.address() as { port: number };
  const calls = PeerClient.create({ daemon: "entry-a", incarnation: now, key, getNow: () => now });
  const peer = { name: "entry-b", peerAddress: `127.0.0.1:${String(port)}` };
  await calls.getHealthReports(peer, now + 10_000);
  const before = getBytes();
  const result = await calls.getHealthReports(peer, now + 10_000);
  assert.equal(result.unwrapOr([]), reports);
  await calls.close();
  server.close();
  await listener.close();
  return getBytes() - before + segmentBytes;
}

async function getDatagramBytes(value: unknown): Promise<number> {
  const datagrams = await DatagramSocket.create("127.0.0.1:0", {
    daemon: "entry-a",
    incarnation: now,
    key,
    getNow: () => now,
    isPeer: () => true,
    onPart: () => undefined,
    onDropped: () => undefined,
  });
  datagrams.send("entry-b", datagrams.getAddress(), [{ topic: "signs", value }]);
  const { sentBytes } = datagrams.getCounts();
  await datagrams.close();
  return sentBytes;
}

const test = suite("bytes of a gossip message");

test("a datagram costs less than half of a call on an open connection", async () => {
  const call = await getCallBytes();
  const datagram = await getDatagramBytes(reports);
  const packed = await getDatagramBytes(packHealthReports(reports));
  const empty = await getDatagramBytes(null);
  console.log(JSON.stringify({ signs: reports.length, call, datagram, packed, empty }));
  assert.ok(datagram * 2 < call);
  assert.ok(packed < datagram);
});

test.run();
