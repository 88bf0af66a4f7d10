// Answers that have lost their proof to a wrong byte. Judged is the rule MIXED: no client gets a success without the
// engine's Response-Stamp.
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

const engineCount = 4;
/** garble: share of the engines, and x, the part of their answers. */
const spoilingEngines = 2;
const spoiledPart = 0.0273;
const spoiledName = "Resqonse-Stamp";
const confirmsPerSecond = 30.7;
const lookupsPerSecond = 12.3;
const seconds = 30;

const record = openRecord(import.meta.url);
const store = new Store();
const engines = [];
const answers = new Tally();
const unproven = [];
const spoiled = new Set();
let routers = [];

async function start() {
  await store.listen();
  for (let index = 1; index <= engineCount; index += 1) {
    const engine = new Engine(`i-${String(index)}`, { work: () => 43 });
    await engine.listen();
    engines.push(engine);
    store.put(`servers/${engine.id}`, entry("rounds-app", engine.address));
  }
  const confirm = route("confirm", "non_idempotent", "rounds-app");
  const lookup = route("lookup", "idempotent", "rounds-app");
  store.put("op/config", config(1, [confirm, lookup], [service("rounds-app")]));
  routers = await startFleet(3, store);
  return areReady(routers);
}

function spoil(engine) {
  engine.getStampName = ({ request }) => {
    if (Math.random() >= spoiledPart) {
      return "Response-Stamp";
    }
    spoiled.add(request);
    record.write(`${engine.id} spoils its answer to ${request}`);
    return spoiledName;
  };
}

async function send(agents) {
  const index = Math.floor(Math.random() * routers.length);
  const isConfirm = Math.random() < confirmsPerSecond / (confirmsPerSecond + lookupsPerSecond);
  const options = isConfirm
    ? { path: "/confirm/1", body: "x".repeat(600) }
    : { path: "/lookup/1", method: "GET" };
  const seen = await call(routers[index].at("callers"), { ...options, agent: agents[index] });
  answers.add(`${isConfirm ? "confirm" : "lookup"} ${String(seen.status)} ${seen.end}`);
  const isSuccess = seen.status >= 200 && seen.status < 300;
  if (isSuccess && seen.headers["response-stamp"] === undefined) {
    unproven.push(seen.id);
    const names = Object.keys(seen.headers).join(", ");
    record.write(`${seen.path} ${seen.id}: the client gets ${String(seen.status)} with ${names}`);
  }
}

async function run() {
  if (!(await start())) {
    return undefined;
  }
  await pause(3_000);
  if (isTroubled) {
    engines.slice(0, spoilingEngines).forEach(spoil);
  }
  const agents = routers.map(() => keptChannels());
  const calls = [];
  const all = confirmsPerSecond + lookupsPerSecond;
  for (let count = 0; count < seconds * all; count += 1) {
    calls.push(send(agents));
    await pause(1_000 / all);
  }
  await Promise.all(calls);
  record.write(`answers: ${String(answers)}`);
  record.write(`spoiled answers: ${String(spoiled.size)}`);
  record.write(
    `successes without Response-Stamp: ${String(unproven.length)}; the rule allows none`,
  );
  return unproven.length === 0;
}

async function stop() {
  await Promise.all(routers.map((router) => router.stop()));
  engines.forEach((engine) => engine.close());
  store.close();
}

await runCase(record, run, stop);
