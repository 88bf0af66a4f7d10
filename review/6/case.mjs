/** Configurations that are large and come in quick succession end every router. */
import { Agent } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { hasTrouble, run } from "../kit-2/case.mjs";
import { send } from "../kit-2/client.mjs";
import { createRoute, createService, limits } from "../kit-2/config.mjs";
import { Engines } from "../kit-2/engines.mjs";
import { RouterFleet } from "../kit-2/routers.mjs";
import { Store } from "../kit-2/store.mjs";

const hosts = ["127.0.61.1", "127.0.61.2", "127.0.61.3"];
/** Routes of the site: 240 that are idle, and those of its two `big_config`. */
const routeCount = 240 + 1_856 + 880;
const teamCount = 24;
const storm = { count: 30, gapMs: 80, lengthMs: 2_000, pauseMs: 1_000 };
const clientsPerRouter = 20;
/** Clients pause for different times, so that they do not all wait for the router at once. */
const clientPauseMs = 25;
/** Long work of the two engines, so that most clients have a request at an engine at any time. */
const shortWorkMs = 900;
const longWorkMs = 2_300;
const timeoutMs = 6_000;
const maxClosedUnanswered = 3;
const playMs = 90_000;

const teams = [...Array(teamCount).keys()].map((index) => {
  const digits = String(index).padStart(6, "0");
  const keys = [`n2ctnfzs989anu${digits}`, `anfqasnmgkcuyj${digits}`];
  return { name: `hule${String(index)}`, api_keys: keys, priority: 1 };
});

const idleRoutes = [...Array(routeCount).keys()].map((index) =>
  createRoute(`r-${String(index)}`, `/idle${String(index)}/`, "idempotent", "app"),
);

/** Each version has one route of its own beside the others, which never change. */
function createConfiguration(version) {
  const name = `new${String(version)}`;
  const isFirst = version === 1;
  const added = isFirst ? [] : [createRoute(name, `/${name}/`, "non_idempotent", "app")];
  const confirm = createRoute("confirm", "/app/", "non_idempotent", "app", {
    timeout_ms: timeoutMs,
  });
  return {
    version,
    route_list: [confirm, ...idleRoutes, ...added],
    services: [createService("app")],
    limits,
    tenants: teams,
  };
}

/** A client that keeps its channel, and sends its next request after the answer to the last one. */
async function runClient(each, address, index, state) {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  let answered = 0;
  while (state.isOn) {
    const key = teams[index % teamCount].api_keys[0];
    const result = await send({ address, path: "/app/1", key, agent, deadlineMs: timeoutMs });
    const how = result.status === 0 ? result.end : `${String(result.status)} ${result.end}`;
    each.record(`client ${String(index)} at ${address}: ${result.id} ${how}`);
    const isKept = answered > 0;
    answered = result.status === 0 ? 0 : answered + 1;
    state.results.push({ ...result, isKept });
    await delay(result.status === 0 ? 500 : clientPauseMs * (index % 100));
  }
  agent.destroy();
}

await run(fileURLToPath(new URL(".", import.meta.url)), async (each) => {
  const store = each.add(new Store());
  await store.start();
  let version = 1;
  store.put("op/config", createConfiguration(version));
  const size = JSON.stringify(createConfiguration(2)).length;
  each.record(`each configuration has ${String(size)} bytes; value_bytes is 1048576`);
  const engines = each.add(new Engines(store));
  await engines.start({ id: "i-1", service: "app", workMs: shortWorkMs });
  await engines.start({ id: "i-2", service: "app", workMs: longWorkMs });
  const fleet = each.add(new RouterFleet(each.folder, store.address, hosts));
  await fleet.start();
  const state = { isOn: true, results: [] };
  const clients = hosts.flatMap((host, at) =>
    [...Array(clientsPerRouter).keys()].map((index) =>
      runClient(each, `${host}:${String(fleet.ports.front)}`, at * 100 + index, state),
    ),
  );
  await delay(2_000);
  const getRunning = () => fleet.routers.filter(({ end }) => end === undefined).length;
  const startedAt = Date.now();
  for (let number = 1; getRunning() > 0 && Date.now() - startedAt < playMs; number += 1) {
    const endsAt = Date.now() + storm.lengthMs;
    while (Date.now() < endsAt) {
      if (hasTrouble) {
        version += 1;
        store.put("op/config", createConfiguration(version));
      }
      await delay(storm.gapMs);
    }
    const running = `${String(getRunning())} of ${String(hosts.length)} routers run`;
    each.record(`after storm ${String(number)}: version ${String(version)}, ${running}`);
    await delay(storm.pauseMs);
  }
  state.isOn = false;
  await Promise.all(clients);
  const ran = new Set(engines.getRuns().map(({ request }) => request));
  const lost = state.results.filter(
    ({ id, status, isKept, end }) =>
      status === 0 && isKept && end.startsWith("channel") && ran.has(id),
  );
  lost.forEach(({ id, address }) => {
    each.record(`${id}: ${address} passed it on from a kept channel, and closed that unanswered`);
  });
  each.recordLogs(/FATAL|daemon\.|registry\./);
  const getLostCount = (host) =>
    lost.filter(({ address }) => address.startsWith(`${host}:`)).length;
  for (const { host, name, end } of fleet.routers) {
    const how = end === undefined ? "runs" : `ended by itself, ${JSON.stringify(end)}`;
    each.record(`router ${name} ${how}; ${String(getLostCount(host))} requests lost`);
  }
  return hosts.some((host) => getLostCount(host) > maxClosedUnanswered);
});
