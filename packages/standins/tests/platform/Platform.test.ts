import { Platform } from "@pistachioway/standins";
import { request } from "undici";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const longWaitMilliseconds = 30_000;
const test = suite("Platform");

async function call(address: string, method: "GET" | "POST" | "PUT", path: string, body?: string) {
  const answer = await request(`http://${address}${path}`, { method, body });
  const text = await answer.body.text();
  return { status: answer.statusCode, body: text === "" ? null : (JSON.parse(text) as unknown) };
}

async function start(callsPerSecond = 2000): Promise<[Platform, string]> {
  const platform = Platform.create({ callsPerSecond });
  return [platform, await platform.listen()];
}

test("assigns increasing revisions and wakes a watch when one is published", async () => {
  const [platform, address] = await start();
  const path = "/v1/values/configuration";
  const before = await call(address, "GET", path);
  await call(address, "PUT", "/_control/configuration", "a = 1");
  const unchanged = await call(address, "GET", `${path}?after=1&wait=1`);
  const watch = call(address, "GET", `${path}?after=1&wait=${String(longWaitMilliseconds)}`);
  await call(address, "PUT", "/_control/configuration", "a = 2");
  assert.equal(
    { before, unchanged, watched: await watch },
    {
      before: { status: 404, body: { error: { type: "no-value" } } },
      unchanged: { status: 304, body: null },
      watched: { status: 200, body: { revision: 2, value: "a = 2" } },
    },
  );
  await platform.close();
});

test("serves an older revision while stale, and assigns revisions again after a restore", async () => {
  const [platform, address] = await start();
  platform.setConfiguration("a = 1");
  platform.setConfiguration("a = 2");
  const path = "/v1/values/configuration";
  await call(address, "POST", "/_control/stale", '{"configurationRevision":1}');
  const stale = await call(address, "GET", path);
  await call(address, "POST", "/_control/stale");
  const fresh = await call(address, "GET", path);
  await call(address, "POST", "/_control/restore", '{"revision":1}');
  await call(address, "PUT", "/_control/configuration", "a = 3");
  const restored = await call(address, "GET", path);
  assert.equal(
    [stale.body, fresh.body, restored.body],
    [
      { revision: 1, value: "a = 1" },
      { revision: 2, value: "a = 2" },
      { revision: 2, value: "a = 3" },
    ],
  );
  await platform.close();
});

test("refuses reads above the rate and while down", async () => {
  const [platform, address] = await start(1);
  platform.setHosts([]);
  const statuses = [
    await call(address, "GET", "/v1/hosts"),
    await call(address, "GET", "/v1/hosts"),
  ];
  assert.equal(
    statuses.map(({ status }) => status),
    [200, 429],
  );
  await platform.close();

  const [down, downAddress] = await start();
  const watch = call(downAddress, "GET", `/v1/hosts?after=0&wait=${String(longWaitMilliseconds)}`);
  const refused = watch.then(({ status }) => status);
  while ((await getWatchers(downAddress)) === 0);
  await call(downAddress, "POST", "/_control/down", '{"mode":"refuse"}');
  assert.is(await refused, 503);
  await call(downAddress, "POST", "/_control/down");
  const reset = await call(downAddress, "GET", "/v1/hosts").catch(
    (error: unknown) => (error as { code: string }).code,
  );
  assert.ok(reset === "ECONNRESET" || reset === "UND_ERR_SOCKET", JSON.stringify(reset));
  await down.close();
});

async function getWatchers(address: string): Promise<number> {
  const { body } = await call(address, "GET", "/_control/counters");
  return (body as { watchers: number }).watchers;
}

test.run();
