import { PrefixDirectory } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createBook } from "./samples.js";

const test = suite("PrefixDirectory");

const [first, second, third] = createBook(3).getEntries();
if (first === undefined || second === undefined || third === undefined) {
  throw new Error("the book has fewer engines than were added");
}
const isUsable = () => true;

test("names the engine that holds the longest prefix", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder(["shared", "chat-1"], first, 0);
  directory.addHolder(["shared"], second, 0);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-1"], third, isUsable, 10), first);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-2"], third, isUsable, 10), second);
});

test("names none when the chosen engine holds as much", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder(["shared", "chat-1"], first, 0);
  directory.addHolder(["shared", "chat-1"], second, 0);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-1"], second, isUsable, 10), undefined);
  directory.addHolder(["shared"], third, 0);
  assert.is(directory.getLongerPrefixHolder(["shared", "chat-2"], third, isUsable, 10), undefined);
});

test("names no engine that cannot be asked, or was used long ago", () => {
  const directory = PrefixDirectory.create();
  directory.addHolder(["chat-1"], first, 0);
  assert.is(
    directory.getLongerPrefixHolder(["chat-1"], third, () => false, 10),
    undefined,
  );
  assert.is(directory.getLongerPrefixHolder(["chat-1"], third, isUsable, 60_001), undefined);
});

test("forgets the parts used longest ago", () => {
  const directory = PrefixDirectory.create();
  for (let part = 0; part < 5_000; part += 1) {
    directory.addHolder([`chat-${String(part)}`], first, part);
  }
  assert.equal([directory.isKnown("chat-0"), directory.isKnown("chat-4999")], [false, true]);
});

test.run();
