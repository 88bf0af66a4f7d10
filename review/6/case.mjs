/** Configurations that are large and come in quick succession end every router. */
import { once } from "node:events";
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
const clientsPerRouter = 10;
const clientPauseMs = 60;
/** The longest work of such a request at the site. */
const workMs = 220;
/** Ends of one machine's processes by themselves, and machines on which there are as many, that make a fault. */
const endsOfFault = 3;
const machinesOfFault = 2;
const restartMs = 300;
const playMs = 95_000;

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
  const confirm = createRoute("confirm", "/app/", "non_idempotent", "app");
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
    const result = await send({ address, path: `/app/${String(index)}`, key, agent });
    const how = result.status === 0 ? result.end : `${String(result.status)} ${result.end}`;
    each.record(`client ${String(index)} at ${address}: ${result.id} ${how}`);
    const isKept = answered > 0;
    answered = result.status === 0 ? 0 : answered + 1;
    state.results.push({ ...result, isKept });
    await delay(result.status === 0 ? 500 : clientPauseMs);
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
  await engines.start({ id: "i-1", service: "app", workMs });
  await engines.start({ id: "i-2", service: "app", workMs });
  const fleet = each.add(new RouterFleet(each.folder, store.address, hosts));
  await fleet.start();
  const state = { isOn: true, results: [] };
  const clients = hosts.flatMap((host, at) =>
    [...Array(clientsPerRouter).keys()].map((index) =>
      runClient(each, `${host}:${String(fleet.ports.front)}`, at * 100 + index, state),
    ),
  );
  await delay(2_000);
  const endsByHost = new Map(hosts.map((host) => [host, 0]));
  const isFault = () =>
    [...endsByHost.values()].filter((ends) => ends >= endsOfFault).length >= machinesOfFault;
  const watch = async (host) => {
    const { name, child } = fleet.get(host);
    const [code, signal] = await once(child, "exit");
    if (state.isOn) {
      endsByHost.set(host, endsByHost.get(host) + 1);
      each.record(`router ${name} ended by itself: code ${String(code)}, signal ${String(signal)}`);
      await delay(restartMs);
      fleet.launch(host, false);
      void watch(host);
    }
  };
  hosts.forEach((host) => void watch(host));
  const startedAt = Date.now();
  for (let number = 1; !isFault() && Date.now() - startedAt < playMs; number += 1) {
    const endsAt = Date.now() + storm.lengthMs;
    while (Date.now() < endsAt) {
      if (hasTrouble) {
        version += 1;
        store.put("op/config", createConfiguration(version));
      }
      await delay(storm.gapMs);
    }
    each.record(`after storm ${String(number)}: version ${String(version)}`);
    await delay(storm.pauseMs);
  }
  state.isOn = false;
  await Promise.all(clients);
  const ran = new Set(engines.getRuns().map(({ request }) => request));
  const lost = state.results.filter(
    ({ id, status, isKept, end }) =>
      status === 0 && isKept && end.startsWith("channel") && ran.has(id),
  );
  lost.forEach(({ id }) => {
    each.record(`${id} came on a kept channel, ran, and the channel was closed without an answer`);
  });
  each.recordLogs(/FATAL|daemon\.|registry\./);
  const ends = [...endsByHost].map(([host, count]) => `${host} ${String(count)} times`).join(", ");
  each.record(`processes that ended by themselves: ${ends}`);
  each.record(`${String(lost.length)} requests of kept channels ran and were lost`);
  return isFault();
});
