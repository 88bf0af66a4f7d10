import {
  decodeDatagram,
  decodeStreamMessage,
  encodeStreamMessage,
  isStreamDatagram,
  type StreamMessage,
} from "@pistachioway/daemon";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("messages on streams");

const messages: readonly StreamMessage[] = [
  { kind: "keep", id: "9c41d07be2a35f68", version: "v1.2" },
  { kind: "ask", id: "9c41d07be2a35f68", service: "engines" },
  {
    kind: "answer",
    id: "9c41d07be2a35f68",
    version: "v1.2",
    onlyVersion: undefined,
    hasSeveral: false,
    keptMilliseconds: 0,
  },
  {
    kind: "answer",
    id: "9c41d07be2a35f68",
    version: undefined,
    onlyVersion: "v1",
    hasSeveral: false,
    keptMilliseconds: 90_000,
  },
  {
    kind: "answer",
    id: "9c41d07be2a35f68",
    version: undefined,
    onlyVersion: undefined,
    hasSeveral: true,
    keptMilliseconds: 90_000,
  },
];

test("messages are decoded as they were encoded, and are no gossip", () => {
  const datagrams = messages.map(encodeStreamMessage);
  assert.equal(datagrams.map(decodeStreamMessage), messages);
  assert.ok(datagrams.every(isStreamDatagram));
  assert.ok(datagrams.every((datagram) => decodeDatagram(datagram, 0) === undefined));
  assert.equal(
    datagrams.map(({ length }) => length),
    [25, 28, 27, 29, 27],
  );
});

test("malformed messages are refused", () => {
  const [first = Buffer.alloc(0)] = messages.map(encodeStreamMessage);
  const malformed = [
    Buffer.of(0xc1),
    Buffer.of(0xc1, 0xc1),
    first.subarray(0, -1),
    Buffer.concat([first, first]),
    encodeStreamMessage({ kind: "keep", id: "x".repeat(129), version: "v1" }),
  ];
  assert.equal(
    malformed.map(decodeStreamMessage),
    malformed.map(() => undefined),
  );
});

test.run();
