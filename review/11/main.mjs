// Streams of sound engines that are full: some end with their channel, and the question for the engine's health waits for a
// slot. Judged is the rule LOST: requests of kept channels whose channel the router closes without a complete answer.
import { performance } from "node:perf_hooks";
import { call, keptChannels } from "../kit-3/client.mjs";
import {
  areReady,
  isTroubled,
  openRecord,
  pause,
  runCase,
  startFleet,
  Tally,
} from "../kit-3/case.mjs";
import { config, entry, route, service } from "../kit-3/config.mjs";
import { Engine } from "../kit-3/engine.mjs";
import { Store } from "../kit-3/store.mjs";

const engineCount = 3;
const slots = 12;
const queue = 36;
/** A stream of the sheet: 24 events of 12 tokens, some 40 ms each in a batch. */
const events = 24;
const eventMilliseconds = 40;
/** Part of the answers that have neither a length nor chunks: x of `garble unframed` in the site files. */
const unframedPart = 0.05;
const usualPerSecond = 20;
const largeShare = 0.3;
const hotFactor = 7.5;
const hotSeconds = 6.5;
const deadline = 8_044;
const mostLost = 3;

const record = openRecord(import.meta.url);
const store = new Store();
const engines = [];
const answers = new Tally();
const seenById = new Map();
let routers = [];

async function start() {
  await store.listen();
  for (let index = 1; index <= engineCount; index += 1) {
    const engine = new Engine(`i-${String(index)}`, { slots, queue });
    const isUnframed = () => Math.random() < unframedPart;
    Object.assign(engine, { events, eventMilliseconds, isUnframed, waitsForHealth: true });
    engine.more = () => ({
      Load: [engine.running.size, engine.waiting.length, slots].join(","),
    });
    await engine.listen();
    engines.push(engine);
    store.put(`servers/${engine.id}`, entry("llm", engine.address, { slots }));
  }
  const answer = route("answer", "streaming", "llm", {
    ...{ timeout_ms: deadline, goal_ms: 603, gap_goal_ms: 400, max_attempts: 1 },
    ...{ sticky: true, resumable: false },
  });
  const engine = { slots, kv_capacity: 317_178, moves: true };
  store.put("op/config", config(1, [answer], [service("llm", { max_conns: 540, engine })]));
  routers = await startFleet(3, store);
  return areReady(routers);
}

async function send(perSecond, seconds, agents, calls) {
  const startedAt = performance.now();
  for (let sent = 0; ;) {
    const elapsed = (performance.now() - startedAt) / 1_000;
    if (elapsed >= seconds) {
      return;
    }
    for (; sent < elapsed * perSecond; sent += 1) {
      calls.push(sendOne(agents));
    }
    await pause(5);
  }
}

async function sendOne(agents) {
  const index = Math.floor(Math.random() * routers.length);
  const options = { path: "/answer/1", body: "x".repeat(830), deadline, agent: agents[index] };
  const seen = await call(routers[index].at("callers"), options);
  seenById.set(seen.id, seen);
  answers.add(`${String(seen.status)} ${seen.end}`);
}

async function run() {
  if (!(await start())) {
    return undefined;
  }
  await pause(4_000);
  const agents = routers.map(() => keptChannels(200));
  const calls = [];
  await send(usualPerSecond, 6, agents, calls);
  const hot = usualPerSecond * (1 + largeShare * (hotFactor - 1));
  if (isTroubled) {
    record.write(
      `one tenant sends ${String(hotFactor)} times its usual: ${hot.toFixed(0)} a second in all`,
    );
  }
  await send(isTroubled ? hot : usualPerSecond, hotSeconds, agents, calls);
  record.write("the usual traffic");
  await send(usualPerSecond, 4, agents, calls);
  await Promise.all(calls);
  await pause(1_000);
  return judge();
}

function judge() {
  const runs = engines.flatMap((engine) => engine.runs);
  const unframed = runs.filter(({ isUnframed }) => isUnframed);
  const lost = runs.filter(({ end, request }) => {
    const seen = seenById.get(request);
    return (
      end === "done" && seen.isKeptChannel && seen.end !== "complete" && seen.end !== "deadline"
    );
  });
  for (const { engine, request, isUnframed } of lost) {
    const seen = seenById.get(request);
    const pieces = seen.body.split("\n\n").length - 1;
    record.write(
      `${request}: ${engine} has written its whole stream${isUnframed ? ", which ends with its channel" : ""}; ` +
        `the client gets ${String(pieces)} of ${String(events)} events, then its channel ends: ${seen.end}`,
    );
  }
  record.write(`answers: ${String(answers)}`);
  record.write(
    `streams that end with their channel: ${String(unframed.length)} of ${String(runs.length)}`,
  );
  record.write(
    `whole answers of sound engines lost: ${String(lost.length)}; the rule allows ${String(mostLost)}`,
  );
  return lost.length <= mostLost;
}

async function stop() {
  await Promise.all(routers.map((router) => router.stop()));
  engines.forEach((engine) => engine.close());
  store.close();
}

await runCase(record, run, stop);
