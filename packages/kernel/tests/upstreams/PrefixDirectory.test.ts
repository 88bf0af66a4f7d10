import { PrefixDirectory } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createTable } from "./samples.js";

const test = suite("PrefixDirectory");

const [first, second, third] = createTable(3).getEntries();
if (first === undefined || second === undefined || third === undefined) {
  throw new Error("the table has fewer engines than were added");
}
const isUsable = () => true;

test("gets the engine that holds the longest prefix", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder(["shared", "chat-1"], first, 0);
  directory.addHolder(["shared"], second, 0);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-1"], third, isUsable, 10), first);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-2"], third, isUsable, 10), second);
});

test("gets no engine when the chosen one holds as long a prefix", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder(["shared", "chat-1"], first, 0);
  directory.addHolder(["shared", "chat-1"], second, 0);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-1"], second, isUsable, 10), undefined);
  directory.addHolder(["shared"], third, 0);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-2"], third, isUsable, 10), undefined);
});

test("gets no engine that is not usable or whose blocks may have been evicted", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder(["chat-1"], first, 0);
  assert.is(
    directory.getLongerPrefixHolder(["chat-1"], third, () => false, 10),
    undefined,
  );
  assert.is(directory.getLongerPrefixHolder(["chat-1"], third, isUsable, 60_001), undefined);
});

test("drops the least recently used blocks", () => {
  const directory = PrefixDirectory.create();
  for (let block = 0; block < 5_000; block += 1) {
    directory.addHolder([`chat-${String(block)}`], first, block);
  }
  assert.equal([directory.isKnown("chat-0"), directory.isKnown("chat-4999")], [false, true]);
});

test.run();
