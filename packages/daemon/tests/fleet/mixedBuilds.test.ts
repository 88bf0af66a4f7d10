import { decodeDatagram, encodeDatagram } from "@pistachioway/daemon";
import type { FleetMessage } from "@pistachioway/kernel";
import { Packr } from "msgpackr";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { z } from "zod";

const test = suite("datagrams between routers of different builds");

/** Datagrams that earlier builds wrote for `message`, which those before 246dbec tell no unreached services of. */
const recordedByBuild = {
  "310121c":
    "9303929aa966726f6e742d612d31ae31302e312e302e32363a38333035cd2025a76e6f7274682d61cb4279de9c8a8d900009000ccd0384c40cfffffff000030000000700019aa966726f6e742d612d32ae31302e312e302e32373a38333035cd2025a76e6f7274682d610101cd0258ffffc400949301a3692d31cb4279de9c8a8da000950301ceee6b280003cd03e89406a3692d32cb4012000000000000cd03e8950501cd07d0ce000493e002",
  "633cae7":
    "9303929ba966726f6e742d612d31ae31302e312e302e32363a38333035cd2025a76e6f7274682d61cb4279de9c8a8d900009000ccd0384c40cfffffff00003000000070001c408ffffffff000000089aa966726f6e742d612d32ae31302e312e302e32373a38333035cd2025a76e6f7274682d610101cd0258ffffc400949301a3692d31cb4279de9c8a8da000950301ceee6b280003cd03e89406a3692d32cb4012000000000000cd03e8950501cd07d0ce000493e002",
};

const now = 5_000;
const packr = new Packr({ useRecords: false });

function createMessage(unreachedServices: ReadonlySet<number>): FleetMessage {
  return {
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
        unreachedServices,
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
      { kind: "leaving", id: "i-1", bornAt: 1_777_743_735_002 },
      { kind: "loss", content: 1, upstream: 4_000_000_000, request: 3, at: 4_000 },
      { kind: "limit", id: "i-2", perSecond: 4.5, at: 4_000 },
      { kind: "quarantine", content: 1, lostSince: 3_000, endsAt: 305_000, count: 2 },
    ],
  };
}

const message = createMessage(new Set([0xffffffff, 8]));

/** The schema by which 310121c reads a datagram: it refuses all of it for one field too many or one kind unknown. */
const uint32 = z.int().min(0).max(0xffffffff);
const age = z.int().min(0);
const text = z.string().min(1).max(64);
const strictState = z.tuple([
  text,
  text,
  z.int().min(1).max(65_535),
  text,
  z.int().min(0),
  z.int().min(0),
  age,
  z.int().min(-1),
  z.int().min(-1),
  z.instanceof(Uint8Array).refine(({ length }) => length % 6 === 0 && length <= 256 * 6),
]);
const strictNotice = z.union([
  z.tuple([z.literal(0), uint32, uint32, age]),
  z.tuple([z.literal(1), text, z.number()]),
  z.tuple([z.literal(2), text, z.int().min(0)]),
  z.tuple([z.literal(6), text, z.number().min(0), age]),
  z.tuple([z.literal(7), text, age]),
  z.tuple([z.literal(3), uint32, uint32, uint32, age]),
  z.tuple([z.literal(4), uint32, age]),
  z.tuple([z.literal(5), uint32, age, z.int().min(0), z.int().min(1)]),
]);
const strictDatagram = z.tuple([
  z.literal(3),
  z.array(strictState).min(1).max(64),
  z.array(strictNotice).max(64),
]);

/** Encodes a message and changes the list that the datagram holds. */
function encodeChanged(change: (datagram: [number, unknown[][], unknown[][]]) => void): Buffer {
  const datagram = packr.unpack(encodeDatagram(message, now)) as [number, unknown[][], unknown[][]];
  change(datagram);
  return packr.pack(datagram);
}

test("what earlier builds wrote is understood", () => {
  const decode = (hex: string): unknown => decodeDatagram(Buffer.from(hex, "hex"), now);
  assert.equal(decode(recordedByBuild["633cae7"]), message);
  assert.equal(decode(recordedByBuild["310121c"]), createMessage(new Set()));
});

// Guards against losses that a router of an earlier build never hears of, since it refuses the datagram (BUDGET).
test("what this build writes is understood by earlier builds, also from a router that reaches no upstream", () => {
  const written: unknown = packr.unpack(encodeDatagram(message, now));
  assert.equal(strictDatagram.safeParse(written).error?.issues, undefined);
});

test("services that are not reached are told from this build to this build", () => {
  assert.equal(decodeDatagram(encodeDatagram(message, now), now), message);
});

test("unknown fields are passed over", () => {
  const bytes = encodeChanged((datagram) => {
    datagram[1].forEach((state) => state.push(new Uint8Array(), "later", 1));
    datagram[2].forEach((notice) => notice.push("later"));
    (datagram as unknown[]).push({ later: true });
  });
  assert.equal(decodeDatagram(bytes, now), message);
});

test("unknown kinds of notices and states that cannot be read are passed over one by one, and counted", () => {
  const bytes = encodeChanged(([, states, notices]) => {
    states.push(["too short"]);
    notices.splice(1, 0, [99, "later"], [3, "malformed"]);
  });
  let skipped = 0;
  const decoded = decodeDatagram(bytes, now, () => {
    skipped += 1;
  });
  assert.equal([decoded, skipped], [message, 3]);
});

test("notices are read although the sender's own state cannot be", () => {
  const bytes = encodeChanged(([, states]) => {
    states[0]?.splice(3, 1, 7);
  });
  assert.equal(decodeDatagram(bytes, now), { states: [], notices: message.notices });
});

test.run();
