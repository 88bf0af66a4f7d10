import { getHash, PrefixDirectory } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable } from "./samples.js";

const test = suite("PrefixDirectory");

const [first, second, third] = createTable(3).getEntries();
if (first === undefined || second === undefined || third === undefined) {
  throw new Error("the table has fewer engines than were added");
}
const [shared, chat1, chat2] = [getHash("shared"), getHash("chat-1"), getHash("chat-2")];
const isUsable = () => true;
const isBest = () => 0;

test("gets the engine that holds the longest prefix", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder([shared, chat1], first, 0);
  directory.addHolder([shared], second, 0);
  assert.is(directory.getLongerPrefixHolder([shared, chat1], third, isUsable, 10), first);
  assert.is(directory.getLongerPrefixHolder([shared, chat2], third, isUsable, 10), second);
});

test("gets no engine when the chosen one holds as long a prefix", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder([shared, chat1], first, 0);
  directory.addHolder([shared, chat1], second, 0);
  assert.is(directory.getLongerPrefixHolder([shared, chat1], second, isUsable, 10), undefined);
  directory.addHolder([shared], third, 0);
  assert.is(directory.getLongerPrefixHolder([shared, chat2], third, isUsable, 10), undefined);
});

test("gets no engine that is not usable or whose blocks may have been evicted", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder([chat1], first, 0);
  assert.is(
    directory.getLongerPrefixHolder([chat1], third, () => false, 10),
    undefined,
  );
  assert.is(directory.getLongerPrefixHolder([chat1], third, isUsable, 60_001), undefined);
});

test("drops the least recently used blocks", () => {
  const directory = PrefixDirectory.create();
  for (let block = 0; block < 5_000; block += 1) {
    directory.addHolder([block], first, block);
  }
  assert.equal([directory.isKnown(0), directory.isKnown(4_999)], [false, true]);
});

test("a use is worth telling when it is the first at its engine, or the last known one is some time ago", () => {
  const directory = PrefixDirectory.create();
  const isNews = [
    directory.addHolder([shared, chat1], first, 0),
    directory.addHolder([shared, chat1], first, 4_000),
    directory.addHolder([shared, chat1], second, 4_000),
    directory.addHolder([shared, chat1], first, 8_001),
  ];
  assert.equal(isNews, [true, false, true, true]);
});

// Guards against a second request for the same prompt that ends the mark of the first.
test("an engine reads a block until the last of its attempts has begun or ended", () => {
  const directory = PrefixDirectory.create();
  const isRead = (): readonly boolean[] => [
    directory.isRead(chat1),
    directory.isReadBy(chat1, first),
    directory.isReadBy(chat1, second),
  ];
  directory.startReading([shared, chat1], first);
  directory.startReading([chat1], first);
  directory.endReading([shared, chat1], first);
  assert.equal(isRead(), [true, true, false]);
  assert.is(directory.getBestReader(chat1, isBest), first);
  directory.endReading([chat1], first);
  directory.endReading([chat1], first);
  assert.equal(isRead(), [false, false, false]);
  assert.is(directory.getBestHolder(chat1, isBest, 0), undefined);
});

test("the best holder is that of the lowest rank, among equal ones that which was recorded last", () => {
  const directory = PrefixDirectory.create();
  const ranks = new Map([
    [first, 1],
    [second, 0],
    [third, 0],
  ]);
  [second, third, first].forEach((entry, at) => {
    directory.addHolder([chat1], entry, at);
  });
  const getBest = (now: number) => directory.getBestHolder(chat1, (entry) => ranks.get(entry), now);
  assert.is(getBest(10), third);
  ranks.delete(third);
  assert.is(getBest(10), second);
  assert.is(getBest(60_001), first);
  assert.equal(
    [directory.isHeldBy(chat1, first, 10), directory.isHeldBy(chat2, first, 10)],
    [true, false],
  );
});

test.run();
