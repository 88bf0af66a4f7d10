import { respondWith, ScriptedUpstream, type Script } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { getArrivals, neverRespond, setScripts, type Context } from "./scripts.js";
import { RouterFixture } from "./RouterFixture.js";

const test = suite<Context>("expected time of work of a router");

const millisecondsPerToken = 0.02;

test.before.each(async (context) => {
  context.upstreams = [ScriptedUpstream.create("i-1"), ScriptedUpstream.create("i-2")];
  context.fixture = await RouterFixture.create(context.upstreams);
});

test.after.each(async ({ fixture, upstreams }) => {
  await fixture.close(upstreams);
});

/** Responds after the time that an engine takes for unread tokens, and reports its load. */
function readPrompt(tokens: number, load: string): Script {
  return (request, response) => {
    response.setHeader("load", load);
    setTimeout(() => {
      respondWith("ok")(request, response);
    }, tokens * millisecondsPerToken);
  };
}

/** Sends a request with a prompt that no engine has read. */
function call({ fixture }: Context, id: string, tokens: number) {
  const head = `Prompt-Prefix: shared-${id}:${String(tokens - 50)},own-${id}:50\r\nTokens: ${String(tokens)},9\r\n`;
  return fixture.call("/read/1", { id, head });
}

/** Lets the router serve prompts that are answered before they are slow, and a long one; gets the arrivals of that. */
async function serveLongPrompt(context: Context, load: string): Promise<number> {
  setScripts(context, readPrompt(5_000, load));
  for (const id of ["a", "b", "c", "d"]) {
    await call(context, id, 5_000);
  }
  const before = getArrivals(context);
  setScripts(context, readPrompt(45_000, load));
  const { status } = await call(context, "long", 45_000);
  assert.is(status, 200);
  return getArrivals(context) - before;
}

// Guards against requests that are read twice, and engines that are avoided, since a long prompt takes longer than the bounds.
test("a long prompt is not repeated, nor its engine taken for silent, where engines report their slowdown", async (context) => {
  assert.is(await serveLongPrompt(context, "1,0,8,100"), 1);
  const { logLines } = context.fixture;
  assert.is(logLines.filter((line) => line.includes("upstream.silent")).length, 0);
  const address = /event=daemon\.listening .*operations=(\S+)/.exec(logLines.join("\n"))?.[1] ?? "";
  const metrics = await (await fetch(`http://${address}/metrics`)).text();
  const learned =
    /^pistachioway_reading_milliseconds_per_1000_tokens\{service="\w+"\} (\S+)$/m.exec(metrics);
  assert.ok(Number(learned?.[1]) >= 1_000 * millisecondsPerToken * 0.5, learned?.[0]);
});

test("where they do not report it, the fixed bounds hold", async (context) => {
  assert.is(await serveLongPrompt(context, "1,0,8"), 2);
});

// Guards against repeats that wait for the long prompts which the engine has read before.
test("short prompts at an engine that hangs are repeated and answered in time", async (context) => {
  await serveLongPrompt(context, "1,0,8,100");
  const [first, second] = context.upstreams;
  first.setScript(neverRespond);
  second.setScript(readPrompt(100, "1,0,8,100"));
  for (const id of ["e", "f", "g", "h"]) {
    assert.is((await call(context, id, 100)).status, 200);
  }
  assert.ok(first.received.length > 0);
});

test.run();
