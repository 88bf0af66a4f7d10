import { createSocket } from "node:dgram";
import { once } from "node:events";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { DatagramCodec } from "../../dist/peers/DatagramCodec.js";
import {
  DatagramSocket,
  splitList,
  type DatagramPart,
  type DropReason,
} from "../../dist/peers/index.js";

const key = "0123456789abcdef0123456789abcdef";
const now = 1_000_000;

/** Creates a socket that records what it receives and drops, and a function that waits for it. */
async function createReceiver(name: string) {
  const events: string[] = [];
  let wake: () => void = () => undefined;
  const record = (event: string): void => {
    events.push(event);
    wake();
  };
  const datagrams = await DatagramSocket.create("127.0.0.1:0", {
    daemon: name,
    incarnation: 1,
    key,
    getNow: () => now,
    isPeer: (peer) => peer !== "stranger",
    onPart: (from, part) => {
      record(`${from.sender} ${part.topic} ${JSON.stringify(part.value)}`);
    },
    onDropped: (reason: DropReason) => {
      record(reason);
    },
  });
  const waitFor = async (count: number): Promise<string[]> => {
    while (events.length < count) {
      await new Promise<void>((resolve) => (wake = resolve));
    }
    return events;
  };
  return { datagrams, events, waitFor };
}

const test = suite("DatagramSocket");

test("sends parts from one daemon to another and counts their bytes", async () => {
  const [a, b] = await Promise.all([createReceiver("a"), createReceiver("b")]);
  const reports = [{ host: "e1", state: "leaving", version: 1, incarnation: 0 }];
  a.datagrams.send("b", b.datagrams.getAddress(), [
    { topic: "heartbeat", value: null },
    { topic: "signs", value: reports },
  ]);
  assert.equal(await b.waitFor(2), ["a heartbeat null", `a signs ${JSON.stringify(reports)}`]);
  const { sentBytes } = a.datagrams.getCounts();
  const { receivedBytes, dropped } = b.datagrams.getCounts();
  assert.is(receivedBytes, sentBytes);
  assert.is(
    Object.values(dropped).reduce((sum, count) => sum + count),
    0,
  );
  await Promise.all([a.datagrams.close(), b.datagrams.close()]);
});

test("splits a large part and sends an indivisible one alone", async () => {
  const [a, b] = await Promise.all([createReceiver("a"), createReceiver("b")]);
  const list = Array.from({ length: 500 }, (_, index) => `engine-${String(index)}`);
  const parts: DatagramPart[] = [
    { topic: "signs", value: list, split: splitList },
    { topic: "placement", value: list },
    { topic: "heartbeat", value: null },
  ];
  a.datagrams.send("b", b.datagrams.getAddress(), parts);
  const { sentDatagrams } = a.datagrams.getCounts();
  const events = await b.waitFor(10);
  const received = events
    .filter((event) => event.startsWith("a signs "))
    .flatMap((event) => JSON.parse(event.slice("a signs ".length)) as string[]);
  assert.equal([sentDatagrams, events.length, received], [10, 10, list]);
  await Promise.all([a.datagrams.close(), b.datagrams.close()]);
});

test("drops and counts truncated, forged, malformed, old, replayed and unlisted datagrams", async () => {
  const b = await createReceiver("b");
  const socket = createSocket("udp4");
  const port = Number(b.datagrams.getAddress().split(":")[1]);
  const codec = DatagramCodec.create(key);
  const encode = (to: string, sender: string, sequence: number, at: number, incarnation = 5) =>
    codec.encode(to, { sender, incarnation, sequence, at }, [{ topic: "heartbeat", value: 0 }]);
  const good = encode("b", "a", 10, now);
  const flipped = Buffer.from(good);
  flipped[0] = (flipped[0] ?? 0) ^ 1;
  const datagrams = [
    Buffer.alloc(0),
    good.subarray(0, 16),
    good.subarray(0, good.length - 1),
    flipped,
    encode("c", "a", 1, now),
    DatagramCodec.create("another key of thirty-two bytes.").encode(
      "b",
      { sender: "a", incarnation: 5, sequence: 1, at: now },
      [],
    ),
    encode("b", "", 1, now),
    encode("b", "a", 2, now - 5_001),
    encode("b", "a", 3, now + 5_001),
    encode("b", "stranger", 1, now),
    good,
    good,
    encode("b", "a", 11, now, 4),
    encode("b", "a", 1, now, 6),
  ];
  for (const [index, datagram] of datagrams.entries()) {
    socket.send(datagram, port, "127.0.0.1");
    await b.waitFor(index + 1);
  }
  assert.equal(b.events, [
    "truncated",
    "truncated",
    "forged",
    "forged",
    "forged",
    "forged",
    "malformed",
    "old",
    "old",
    "unlisted",
    "a heartbeat 0",
    "replayed",
    "replayed",
    "a heartbeat 0",
  ]);
  const { dropped } = b.datagrams.getCounts();
  assert.equal(dropped, {
    truncated: 2,
    forged: 4,
    malformed: 1,
    old: 2,
    replayed: 2,
    unlisted: 1,
  });
  socket.close();
  await Promise.all([once(socket, "close"), b.datagrams.close()]);
});

test.run();
