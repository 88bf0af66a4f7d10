import { Engine, getExpectedAnswer, type EngineOptions } from "@pistachioway/standins";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("Engine");

interface Answer {
  readonly status: number;
  readonly headers: Record<string, unknown>;
  readonly text: string;
}

async function call(url: string, options: Parameters<typeof request>[1] = {}): Promise<Answer> {
  const answer = await request(url, options);
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() };
}

async function start(options: EngineOptions = {}): Promise<[Engine, string]> {
  const engine = Engine.create({ tokenMilliseconds: 0, loadLagMilliseconds: 0, ...options });
  return [engine, `http://${await engine.listen()}`];
}

function chat(url: string, attempt: string, body: object = {}, headers: object = {}) {
  const messages = [{ role: "user", content: "what is on the round" }];
  return call(`${url}/v1/chat/completions`, {
    method: "POST",
    headers: { "x-chat-id": "c1", "x-attempt-id": attempt, ...headers },
    body: JSON.stringify({ model: "small", max_tokens: 3, messages, ...body }),
  });
}

const expected = getExpectedAnswer({ chat: "c1", message: "what is on the round", tokens: 3 });
const lastToken = expected.slice(expected.lastIndexOf(" "));

/** Parses the content and the ids of a stream, and whether it ended with `[DONE]`. */
function readStream(text: string): { content: string; ids: number[]; isDone: boolean } {
  const data = [...text.matchAll(/^data: (\{.*\})$/gm)].map(
    ([, json]) => JSON.parse(json ?? "") as { choices: { delta: { content?: string } }[] },
  );
  return {
    content: data.map(({ choices }) => choices[0]?.delta.content ?? "").join(""),
    ids: [...text.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id)),
    isDone: text.endsWith("data: [DONE]\n\n"),
  };
}

test("answers with content derived from the request, and reuses the cached prefix of a chat", async () => {
  const [engine, url] = await start();
  const first = JSON.parse((await chat(url, "a1")).text) as object;
  const second = await chat(url, "a2", { stream: true });
  assert.equal(first, {
    id: "a1",
    object: "chat.completion",
    model: "small",
    choices: [
      { index: 0, message: { role: "assistant", content: expected }, finish_reason: "stop" },
    ],
    usage: { prompt_tokens: 5, completion_tokens: 3, cached_tokens: 0 },
  });
  assert.equal(readStream(second.text), { content: expected, ids: [1, 2, 3, 3], isDone: true });
  assert.match(
    second.text,
    /"usage":\{"prompt_tokens":5,"completion_tokens":3,"cached_tokens":5\}/,
  );
  assert.is(second.headers["x-attempt-id"], "a2");
  await engine.close();
});

test("evicts the least recently used chat beyond the cache's limit", async () => {
  const [engine, url] = await start({
    cacheTokens: 16,
    lostCacheEventEvery: 2,
    cacheEventLagMilliseconds: 0,
  });
  await chat(url, "a1");
  await chat(url, "a2", {}, { "x-chat-id": "c2" });
  await chat(url, "a3", {}, { "x-chat-id": "c3" });
  const events = await call(`${url}/v1/cache-events?after=0`);
  assert.equal(JSON.parse(events.text), {
    events: [
      { sequence: 1, kind: "stored", chat: "c1", tokens: 8 },
      { sequence: 3, kind: "stored", chat: "c3", tokens: 8 },
    ],
    next: 3,
  });
  assert.equal((await call(`${url}/v1/kv/c1`)).status, 404);
  const prefix = await call(`${url}/v1/kv/c2`);
  await call(`${url}/v1/kv/c9`, { method: "PUT", body: prefix.text });
  assert.equal((await call(`${url}/v1/kv/c9`)).text, prefix.text);
  await engine.close();
});

test("resumes a broken stream at its offset and cancels on request", async () => {
  const [engine, url] = await start();
  engine.setFaults({ frozen: true });
  const body = JSON.stringify({
    model: "small",
    max_tokens: 3,
    stream: true,
    messages: [{ role: "user", content: "what is on the round" }],
  });
  const headers = { "x-chat-id": "c1", "x-attempt-id": "a1" };
  const broken = await request(`${url}/v1/chat/completions`, { method: "POST", headers, body });
  broken.body.on("error", () => undefined).destroy();
  engine.setFaults({ frozen: false });
  const resumed = await call(`${url}/v1/streams/a1?offset=2`);
  assert.equal(readStream(resumed.text), { content: lastToken, ids: [3, 3], isDone: true });
  assert.is((await call(`${url}/v1/streams/unknown`)).status, 404);

  engine.setFaults({ frozen: true });
  const cancelled = chat(url, "a2").catch((error: unknown) => (error as { code: string }).code);
  while (engine.getRecords().counts.accepted < 2) {
    await call(`${url}/v1/load`);
  }
  assert.is((await call(`${url}/v1/streams/a2`, { method: "DELETE" })).status, 204);
  assert.is(await cancelled, "UND_ERR_SOCKET");
  const { requests, accepted, resumed: resumes, cancelled: cancels } = engine.getRecords().counts;
  assert.equal(
    { requests, accepted, resumes, cancels },
    { requests: 2, accepted: 2, resumes: 1, cancels: 1 },
  );
  await engine.close();
});

test("runs waiting requests by priority, and refuses requests beyond its queue without running them", async () => {
  const [engine, url] = await start({ slots: 1, maxWaiting: 2 });
  engine.setFaults({ frozen: true });
  const finished: string[] = [];
  const answers: Promise<unknown>[] = [];
  for (const [attempt, priority] of [
    ["running", 0],
    ["low", 1],
    ["high", 9],
  ] as const) {
    const answer = chat(url, attempt, {}, { "x-priority": String(priority) });
    answers.push(answer.then(() => finished.push(attempt)));
    while (engine.getRecords().counts.accepted < answers.length) {
      await call(`${url}/v1/load`);
    }
  }
  const full = await chat(url, "beyond");
  const load = JSON.parse((await call(`${url}/v1/load`)).text) as Record<string, unknown>;
  engine.setFaults({ frozen: false });
  await Promise.all(answers);
  engine.setFaults({ leaving: true });
  const leaving = await chat(url, "late");
  assert.equal(
    {
      finished,
      full: [full.status, full.headers["x-outcome"], full.text],
      leaving: [leaving.status, leaving.headers["x-outcome"], leaving.text],
      load: { ...load, at: 0 },
    },
    {
      finished: ["running", "high", "low"],
      full: [429, "not-run", '{"error":{"type":"full"}}'],
      leaving: [503, "not-run", '{"error":{"type":"leaving"}}'],
      load: {
        at: 0,
        running: 1,
        waiting: 2,
        slots: 1,
        state: "live",
        models: ["small"],
        fencing: 0,
      },
    },
  );
  await engine.close();
});

test("refuses an old order only where fencing is checked", async () => {
  const outcomes = [];
  for (const checksFencing of [true, false]) {
    const [engine, url] = await start({ checksFencing, modelLoadMilliseconds: 0 });
    const order = (fencing: number, model: string) =>
      call(`${url}/v1/orders`, {
        method: "POST",
        body: JSON.stringify({ kind: "load", model, fencing }),
      });
    const statuses = [(await order(7, "large")).status, (await order(6, "medium")).status];
    const { fencing } = JSON.parse((await call(`${url}/v1/orders`)).text) as { fencing: number };
    outcomes.push({ statuses, fencing });
    await engine.close();
  }
  assert.equal(outcomes, [
    { statuses: [202, 409], fencing: 7 },
    { statuses: [202, 202], fencing: 6 },
  ]);
});

test.run();
