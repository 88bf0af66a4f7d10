import { PromptCache } from "@pistachioway/experiments";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("PromptCache");
const team = { id: "team", tokens: 40 };
const chat = { id: "chat", tokens: 50 };
const other = { id: "other", tokens: 50 };

test("counts a block only if all blocks before it are cached", () => {
  const cache = PromptCache.create(100);
  cache.addBlocks([chat]);
  assert.is(cache.getCachedTokens([team, chat]), 0);
  cache.addBlocks([team]);
  assert.is(cache.getCachedTokens([team, chat]), 90);
});

test("evicts the least recently used block", () => {
  const cache = PromptCache.create(100);
  cache.addBlocks([team, chat]);
  cache.addBlocks([team, other]);
  assert.equal(
    [cache.getCachedTokens([team, chat]), cache.getCachedTokens([team, other])],
    [40, 90],
  );
});

test.run();
