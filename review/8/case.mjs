/** One answer whose status line is spoiled stops a whole router for seconds. */
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { hasTrouble, run } from "../kit-2/case.mjs";
import { send } from "../kit-2/client.mjs";
import { createRoute, createService, limits } from "../kit-2/config.mjs";
import { Engines } from "../kit-2/engines.mjs";
import { RouterFleet } from "../kit-2/routers.mjs";
import { Store } from "../kit-2/store.mjs";

const hosts = ["127.0.65.1", "127.0.65.2"];
const key = "n2ctnfzs989anu6wsjnb";
/** Time between two requests at one router; each comes on a channel of its own. */
const requestGapMs = 50;
const playMs = 20_000;
/** Time-out of the route, above its objective of 190 ms, and the site's time budget of such a request. */
const timeoutMs = 500;
const deadlineMs = 1_500;
const lateMs = 500;
/** Requests without a final answer, and their share of those past the time-out, that break the rule. */
const minLate = 8;
const lateShare = 0.25;
/** One answer in fifty of one engine is spoiled. */
const spoilEvery = 50;

const configuration = {
  version: 7,
  route_list: [
    createRoute("confirm", "/confirm/", "non_idempotent", "app", { timeout_ms: timeoutMs }),
  ],
  services: [createService("app")],
  limits,
  tenants: [{ name: "hule930", api_keys: [key], priority: 1 }],
};

await run(fileURLToPath(new URL(".", import.meta.url)), async (each) => {
  const store = each.add(new Store());
  await store.start();
  store.put("op/config", configuration);
  const engines = each.add(new Engines(store));
  await engines.start({ id: "i-1", service: "app", ...(hasTrouble ? { spoilEvery } : {}) });
  await engines.start({ id: "i-2", service: "app" });
  const fleet = each.add(new RouterFleet(each.folder, store.address, hosts));
  await fleet.start();
  await delay(3_500);
  const endsAt = Date.now() + playMs;
  const requests = [];
  while (Date.now() < endsAt) {
    for (const host of hosts) {
      const address = `${host}:${String(fleet.ports.front)}`;
      requests.push(send({ address, path: "/confirm/1", key, deadlineMs }));
    }
    await delay(requestGapMs);
  }
  const results = await Promise.all(requests);
  let dueCount = 0;
  let lateCount = 0;
  for (const { id, address, sentAt, endedAt, status, end, headAt } of results) {
    const answeredMs = status === 0 ? Infinity : headAt - sentAt;
    dueCount += answeredMs > timeoutMs ? 1 : 0;
    lateCount += answeredMs > timeoutMs + lateMs ? 1 : 0;
    const after = `${String(endedAt - sentAt)} ms`;
    each.record(`${id} to ${address}: ${String(status)} ${end} after ${after}`);
  }
  for (const { engine, event, request, how } of engines.lines) {
    if (event === "ran" || how === "spoiled") {
      each.record(`engine ${engine}: ${event} ${request} ${how ?? ""}`);
    }
  }
  each.recordLogs(/stalled|attempt\.lost/);
  const sums = `of ${String(results.length)} requests ${String(dueCount)} were unanswered at timeout_ms`;
  each.record(`${sums}, and ${String(lateCount)} of these 0.5 s later`);
  return lateCount >= minLate && lateCount > lateShare * dueCount;
});
