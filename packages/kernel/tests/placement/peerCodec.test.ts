import fc from "fast-check";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { packPeerMessage, parsePeerMessage, type PlacementPeerMessage } from "@pistachioway/kernel";

const test = suite("peerCodec");

const hash = fc.integer({ min: 0, max: 0xffffffff });
const count = fc.integer({ min: 0, max: 0xffffff });
const counts = fc.option(fc.array(fc.record({ engine: hash, count }), { maxLength: 4 }));

const messageArbitrary: fc.Arbitrary<PlacementPeerMessage> = fc.record({
  sequence: hash,
  counts,
  totals: fc.array(fc.record({ model: hash, count }), { maxLength: 3 }),
  claims: counts,
  reservations: fc.array(
    fc.record({ id: hash, engine: hash, model: hash, chat: hash, level: fc.boolean() }),
    { maxLength: 2 },
  ),
  answers: fc.array(
    fc.record({
      id: hash,
      outcome: fc.constantFrom("granted", "refused", "redirected", "unknown"),
      engine: hash,
      count,
    }),
    { maxLength: 2 },
  ),
  moves: fc.array(fc.record({ chat: hash, engine: hash }), { maxLength: 3 }),
});

test("reads what it packed", () => {
  fc.assert(
    fc.property(messageArbitrary, (message) => {
      const plain = JSON.parse(JSON.stringify(message)) as PlacementPeerMessage;
      assert.equal(parsePeerMessage(packPeerMessage(plain)).unwrapOr(undefined as never), plain);
    }),
    { seed: 1, numRuns: 200 },
  );
});

test("refuses what is no message, with a typed error", () => {
  const broken: unknown[] = [
    undefined,
    "text",
    {},
    [],
    [1.5, [], null, null],
    [1, [7], null, null],
    [1, [], [7, -1], null],
    [1, [], null, null, [1, 2, 3, 4]],
    [1, [], null, null, [], [1, 9, 3, 4]],
  ];
  assert.equal(
    broken.map((packed) =>
      parsePeerMessage(packed)
        .mapErr(({ code }) => code)
        .toString(),
    ),
    broken.map(() => 'Err("invalid-peer-message")'),
  );
});

test.run();
