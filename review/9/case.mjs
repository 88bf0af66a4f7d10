/** Engines crash behind a cut and start again: streams that the crash cut off look complete to their callers. */
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { hasTrouble, run } from "../kit-2/case.mjs";
import { readEvents, send } from "../kit-2/client.mjs";
import { createRoute, createService, limits } from "../kit-2/config.mjs";
import { Engines } from "../kit-2/engines.mjs";
import { Link } from "../kit-2/link.mjs";
import { RouterFleet } from "../kit-2/routers.mjs";
import { Store } from "../kit-2/store.mjs";

const hosts = ["127.0.66.1", "127.0.66.2"];
const key = "n2ctnfzs989anu6wsjnb";
const streamCount = 60;
/** Engines beside the one that is cut off, which is a tenth of all, as the share of `node_cut`. */
const otherEngines = 9;
const events = 40;
const gapMs = 150;
/** When, after the cut began, the engine crashes, is back, and the cut heals. */
const crashAtMs = 200;
const backAtMs = 2_200;
const healAtMs = 3_000;
/** When the entry of the engine that crashed is removed: after three intervals of silence. */
const lapsedAtMs = 3_800;

const configuration = {
  version: 7,
  route_list: [
    createRoute("answer", "/stream/answer/", "streaming", "llm", {
      timeout_ms: 12_000,
      goal_ms: 1_000,
      gap_goal_ms: 300,
      sticky: true,
      resumable: false,
    }),
  ],
  services: [createService("llm", { max_conns: 370 })],
  limits,
  tenants: [{ name: "hule930", api_keys: [key], priority: 1 }],
};

await run(fileURLToPath(new URL(".", import.meta.url)), async (each) => {
  const store = each.add(new Store());
  await store.start();
  store.put("op/config", configuration);
  const engines = each.add(new Engines(store));
  const options = { service: "llm", events, gapMs, isUnframed: true };
  const crashing = await engines.start({ id: "i-crashes", ...options });
  const link = each.add(new Link(crashing.address));
  await link.start();
  crashing.address = link.address;
  engines.write(crashing);
  for (let number = 1; number <= otherEngines; number += 1) {
    await engines.start({ id: `i-stays-${String(number)}`, ...options });
  }
  const fleet = each.add(new RouterFleet(each.folder, store.address, hosts));
  await fleet.start();
  await delay(3_500);
  const streams = [...Array(streamCount).keys()].map(async (index) => {
    await delay(index * 15);
    const address = `${hosts[index % hosts.length]}:${String(fleet.ports.front)}`;
    const headers = { Model: "m", Tokens: "100,280", "Prompt-Prefix": `a${String(index)}:100` };
    return send({ address, path: "/stream/answer/1", key, deadlineMs: 12_000, headers });
  });
  await delay(1_500);
  if (hasTrouble) {
    const cutAt = Date.now();
    const at = async (milliseconds) => {
      await delay(Math.max(0, cutAt + milliseconds - Date.now()));
    };
    each.record(
      "engine i-crashes is cut off from all machines: channels hang, new ones are refused",
    );
    link.cut();
    await at(crashAtMs);
    each.record("engine i-crashes crashes behind the cut: SIGKILL");
    engines.kill(crashing);
    await at(backAtMs);
    const port = Number(link.target.split(":")[1]);
    const back = await engines.start({ ...options, id: "i-back", port }, { address: link.address });
    each.record(`an engine is back at its address, as a new incarnation with the id ${back.id}`);
    await at(healAtMs);
    await link.heal();
    each.record("the cut heals");
    await at(lapsedAtMs);
    store.remove("servers/i-crashes");
  }
  const results = await Promise.all(streams);
  const engineById = new Map();
  engines.getRuns().forEach(({ request, engine }) => {
    engineById.set(request, [...(engineById.get(request) ?? []), engine]);
  });
  let shortCount = 0;
  for (const { id, address, status, end, text } of results) {
    const { numbers } = readEvents(text);
    const isShort = status === 200 && end === "complete" && numbers.length < events;
    shortCount += isShort ? 1 : 0;
    const at = (engineById.get(id) ?? ["-"]).join(", then ");
    const seen = `${String(status)} ${end}, ${String(numbers.length)} events of ${String(events)}`;
    each.record(`${id} by ${address} at ${at}: ${seen}`);
  }
  for (const { engine, request, event, number, how } of engines.lines) {
    if (event === "ran" || event === "ended") {
      each.record(`engine ${engine}: ${event} ${request} ${how ?? ""} ${String(number ?? "")}`);
    }
  }
  each.recordLogs(/stalled|unframed|attempt\.lost/);
  each.record(`${String(shortCount)} streams ended as complete before their last event`);
  return shortCount > 0;
});
