/** A router that starts just after the store came back older takes a revoked key, although its peers know better. */
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { hasTrouble, run } from "../kit-2/case.mjs";
import { send } from "../kit-2/client.mjs";
import { createRoute, createService, limits } from "../kit-2/config.mjs";
import { Engines } from "../kit-2/engines.mjs";
import { RouterFleet } from "../kit-2/routers.mjs";
import { Store } from "../kit-2/store.mjs";

const hosts = ["127.0.64.1", "127.0.64.2", "127.0.64.3"];
const revoked = "n2ctnfzs989anu6wsjnb";
const kept = "anfqasnmgkcuyj8pjbvk";
const revokeMs = 5_000;
/** When, after the acknowledgement of the revocation, the store goes away, is back, and has what it lost again. */
const awayAtMs = 3_500;
const backAtMs = 4_000;
const writtenAgainAtMs = 6_000;
const sendUntilMs = 9_000;
const sendGapMs = 50;

function createConfiguration(version, keys) {
  return {
    version,
    route_list: [createRoute("confirm", "/app/", "non_idempotent", "app")],
    services: [createService("app")],
    limits,
    tenants: [{ name: "hule930", api_keys: keys, priority: 1 }],
  };
}

await run(fileURLToPath(new URL(".", import.meta.url)), async (each) => {
  const store = each.add(new Store());
  store.era = 4;
  await store.start();
  store.put("op/config", createConfiguration(7, [kept, revoked]));
  const engines = each.add(new Engines(store));
  await engines.start({ id: "i-1", service: "app" });
  await engines.start({ id: "i-2", service: "app" });
  const fleet = each.add(new RouterFleet(each.folder, store.address, hosts));
  await fleet.start();
  await delay(3_500);
  const copy = store.copy();
  await delay(500);
  const acknowledgedAt = Date.now();
  store.put("op/config", createConfiguration(8, [kept]));
  each.record("the store accepts version 8, which takes a key away");
  const at = async (milliseconds) => {
    await delay(Math.max(0, acknowledgedAt + milliseconds - Date.now()));
  };
  const results = [];
  const clients = (async () => {
    while (Date.now() < acknowledgedAt + sendUntilMs) {
      for (const host of hosts) {
        const address = `${host}:${String(fleet.ports.front)}`;
        results.push(send({ address, path: "/app/1", key: revoked }));
      }
      await delay(sendGapMs);
    }
  })();
  if (hasTrouble) {
    await at(awayAtMs);
    store.leave();
    fleet.get(hosts[2]).child.kill("SIGKILL");
    each.record("the store is away for a moment; router front-3 is killed");
    await at(backAtMs);
    store.comeBack(copy);
    each.record("the store is back from a copy 4.5 s old: version 7, its era has risen by one");
    fleet.launch(hosts[2], false);
    each.record("router front-3 is started again");
    await at(writtenAgainAtMs);
    store.put("op/config", createConfiguration(8, [kept]));
    each.record("the operator has written version 8 again");
  }
  await clients;
  const sent = await Promise.all(results);
  const ran = new Set(engines.getRuns().map(({ request }) => request));
  const late = sent.filter(({ id, sentAt }) => ran.has(id) && sentAt > acknowledgedAt + revokeMs);
  for (const { id, address, sentAt, status, end } of sent) {
    const after = String(sentAt - acknowledgedAt);
    const what = ran.has(id) ? "ran" : "did not run";
    each.record(`${id} to ${address}, ${after} ms after: ${String(status)} ${end}, ${what}`);
  }
  each.recordLogs(/configuration\.in-force|registry\.|daemon\.(starting|listening)|peer\.state/);
  const routers = [...new Set(late.map(({ address }) => address))].join(", ");
  each.record(`${String(late.length)} requests with the revoked key ran too late, at ${routers}`);
  return late.length > 0;
});
