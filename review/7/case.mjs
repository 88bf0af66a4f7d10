/** An engine that leaves is gone before its streams have ended: their callers get them as if they were complete. */
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { hasTrouble, run } from "../kit-2/case.mjs";
import { readEvents, send } from "../kit-2/client.mjs";
import { createRoute, createService, limits } from "../kit-2/config.mjs";
import { Engines } from "../kit-2/engines.mjs";
import { RouterFleet } from "../kit-2/routers.mjs";
import { Store } from "../kit-2/store.mjs";

const hosts = ["127.0.62.1", "127.0.62.2"];
const key = "n2ctnfzs989anu6wsjnb";
const streamCount = 42;
/** Engines beside the one that leaves, which is a seventh of all: 0.143, where `scale_in` has a share of 0.15. */
const otherEngines = 6;
const events = 40;
const gapMs = 150;
/** Time between the notice and the end of the engine: the default of `scale_in` with `spot`. */
const noticeMs = 2_000;

const configuration = {
  version: 7,
  route_list: [
    createRoute("answer", "/stream/answer/", "streaming", "llm", {
      timeout_ms: 10_000,
      goal_ms: 600,
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
  const leaving = await engines.start({ id: "i-leaves", ...options });
  for (let number = 1; number <= otherEngines; number += 1) {
    await engines.start({ id: `i-stays-${String(number)}`, ...options });
  }
  const fleet = each.add(new RouterFleet(each.folder, store.address, hosts));
  await fleet.start();
  await delay(3_500);
  const streams = [...Array(streamCount).keys()].map(async (index) => {
    await delay(index * 20);
    const address = `${hosts[index % hosts.length]}:${String(fleet.ports.front)}`;
    const headers = { Model: "m", Tokens: "100,280", "Prompt-Prefix": `a${String(index)}:100` };
    return send({ address, path: "/stream/answer/1", key, deadlineMs: 10_000, headers });
  });
  await delay(1_500);
  if (hasTrouble) {
    each.record("engine i-leaves gives notice: its entry says draining");
    engines.write(leaving, { state: "draining" });
    await delay(noticeMs);
    each.record("engine i-leaves is gone: SIGKILL");
    engines.kill(leaving);
    await delay(1_000);
    store.remove("servers/i-leaves");
  }
  const results = await Promise.all(streams);
  const engineById = new Map(engines.getRuns().map((line) => [line.request, line.engine]));
  let shortCount = 0;
  for (const { id, status, end, text, headers } of results) {
    const { numbers } = readEvents(text);
    const isShort = status === 200 && end === "complete" && numbers.length < events;
    shortCount += isShort ? 1 : 0;
    const framing = headers["transfer-encoding"] ?? headers["content-length"] ?? "none";
    const seen = `${String(status)} ${end}, framing ${framing}, ${String(numbers.length)} events`;
    each.record(`${id} at ${engineById.get(id) ?? "-"}: ${seen} of ${String(events)}`);
  }
  for (const { engine, request, event, number, how } of engines.lines) {
    if (event === "ran" || event === "ended") {
      each.record(
        `engine ${engine}: ${event} ${request ?? ""} ${how ?? ""} ${String(number ?? "")}`,
      );
    }
  }
  each.recordLogs(/request\.(lost|unframed|end)|upstream\.(changed|gone)|unframed/);
  each.record(`${String(shortCount)} streams ended as complete before their last event`);
  return shortCount > 0;
});
