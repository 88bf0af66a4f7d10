import { decodeDatagram, encodeDatagram } from "@pistachioway/daemon";
import type { FleetMessage } from "@pistachioway/kernel";
import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("fleet datagram codec");

const message: FleetMessage = {
  states: [
    {
      name: "front-a-1",
      address: "10.1.0.26:8305",
      operations: "10.1.0.26:8229",
      zone: "north-a",
      incarnation: 1_777_743_735_001,
      sequence: 9,
      sampledAt: 5_000,
      version: 12,
      confirmedAt: 4_100,
      running: new Map([
        [0xfffffff0, 3],
        [7, 1],
      ]),
      unreachedServices: new Set([0xffffffff, 8]),
    },
    {
      name: "front-a-2",
      address: "10.1.0.27:8305",
      operations: "10.1.0.27:8229",
      zone: "north-a",
      incarnation: 1,
      sequence: 1,
      sampledAt: 4_400,
      version: -1,
      confirmedAt: -Infinity,
      running: new Map(),
      unreachedServices: new Set(),
    },
  ],
  notices: [
    { kind: "prefix", block: 5, upstream: 0xffffffff, at: 4_900 },
    { kind: "leaving", id: "i-1", bornAt: 1_777_743_735_002 },
    { kind: "resting", id: "i-2", endsAt: 6_500 },
    { kind: "loss", content: 1, upstream: 4_000_000_000, request: 3, at: 4_000 },
    { kind: "limit", id: "i-2", perSecond: 4.5, at: 4_000 },
    { kind: "limit", id: "i-1", perSecond: undefined, at: 4_500 },
    { kind: "pace", id: "i-2", perSecond: 7.5, isReduced: true, at: 4_600 },
    { kind: "pace", id: "i-1", perSecond: undefined, isReduced: false, at: 4_700 },
    { kind: "served", content: 1, at: 4_500 },
    { kind: "quarantine", content: 1, lostSince: 3_000, endsAt: 305_000, count: 2 },
  ],
};

test("decodes what was encoded, with instants of the receiver's clock", () => {
  assert.equal(decodeDatagram(encodeDatagram(message, 5_000), 5_000), message);
  const moved = decodeDatagram(encodeDatagram(message, 5_000), 905_000);
  assert.equal(
    [moved?.states[0]?.sampledAt, moved?.states[1]?.confirmedAt, moved?.notices[2]],
    [905_000, -Infinity, { kind: "resting", id: "i-2", endsAt: 906_500 }],
  );
});

test("a state without unreached services takes no byte more", () => {
  const [state] = message.states;
  assert.ok(state);
  const getBytes = (unreachedServices: ReadonlySet<number>): number =>
    encodeDatagram({ states: [{ ...state, unreachedServices }], notices: [] }, 5_000).length;
  assert.is(getBytes(new Set([1])) - getBytes(new Set()), 6);
});

test("refuses foreign, truncated and oversized datagrams", () => {
  const datagram = encodeDatagram(message, 5_000);
  const [state] = message.states;
  const states = state === undefined ? [] : Array<typeof state>(65).fill(state);
  const refused = [
    Buffer.alloc(0),
    Buffer.from('{"name":"d-1"}'),
    datagram.subarray(0, datagram.length - 3),
    encodeDatagram({ states: [], notices: [] }, 0),
    encodeDatagram({ states, notices: [] }, 5_000),
  ];
  assert.equal(
    refused.map((bytes) => decodeDatagram(bytes, 0)),
    [undefined, undefined, undefined, undefined, undefined],
  );
});

test("never throws on random bytes", () => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      decodeDatagram(Buffer.from(bytes), 0);
    }),
    { seed: 5, numRuns: 2_000 },
  );
});

test.run();
