import { createPublishedConfiguration, publishedService } from "@pistachioway/standins";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  callProcess,
  processTimeoutMilliseconds,
  setUpProcess,
  tearDownProcess,
  type ProcessContext,
} from "./ProcessContext.js";
import { waitFor } from "./RouterFixture.js";
import { RouterProcess } from "./RouterProcess.js";

const test = suite<ProcessContext>("odd entries in the registry");

const requestCount = 24;
/** Entries that look sound and cannot be reached are found out by requests and probes. */
const maxRequests = 200;
const maxLineLength = 2_000;
const depth = 5_000;
const deepest = 400_000;
const longText = "x".repeat(20_000);
const sound = {
  service: publishedService,
  address: "127.0.0.1:9",
  zone: "north",
  version: "v1",
  slots: 8,
  state: "ready",
  seq_no: 1,
  born: 1,
};

/** Creates the text of an entry in which one field has a value, as JSON text. */
function withField(name: string, json: string): string {
  return JSON.stringify({ ...sound, [name]: "VALUE" }).replace('"VALUE"', () => json);
}

const nested = ["[".repeat(depth), "[".repeat(depth) + "]".repeat(depth)];
const nestedObject = '{"a":'.repeat(depth) + "1" + "}".repeat(depth);
const numbers = ["1e400", "-1e400", "9".repeat(400), "1e308", "-1", "0", "0.5", "null", '"7"'];
const ports = ["0", "-1", "70000", "99999", "1e3", "9".repeat(500), ""];
const addresses = [
  ...ports.map((port) => `127.0.0.1:${port}`),
  ...["999.1.1.1:80", "", "host:80", "[::1]:80", "127.0.0.1:80\r\nX: y", "127.0.0.1:80/x?"],
];
const texts = ['"__proto__"', '"constructor"', '""', '"\\ud800"', '"a\\r\\nb"', "null", "{}"];

/** Texts of entries that another writer may leave. */
const oddEntries: readonly string[] = [
  ...["", "null", "7", '"text"', "[]", "{}", "\u0000", "{", longText],
  "x".repeat(deepest),
  "[".repeat(deepest),
  "[".repeat(deepest) + "]".repeat(deepest),
  ...addresses.map((address) => withField("address", JSON.stringify(address))),
  ...["slots", "seq_no", "born"].flatMap((name) => numbers.map((json) => withField(name, json))),
  ...["service", "zone", "version", "state"].flatMap((name) =>
    [...texts, JSON.stringify(longText)].map((json) => withField(name, json)),
  ),
  ...Object.keys(sound).flatMap((name) =>
    [...nested, nestedObject].map((json) => withField(name, json)),
  ),
];

const oddIds = ["__proto__", "constructor", "", "a/b", "a\r\nb", "\ud800", longText];

const oddConfigurations: readonly string[] = [
  ...["", "null", "[]", "{", longText],
  "[".repeat(deepest) + "]".repeat(deepest),
  ...["version", "route_list", "services", "limits", "tenants"].flatMap((name) =>
    [...nested, nestedObject, "null", "1e400", '"__proto__"'].map((json) =>
      JSON.stringify({
        ...(createPublishedConfiguration({ version: 9 }) as object),
        [name]: "VALUE",
      }).replace('"VALUE"', () => json),
    ),
  ),
];

test.before.each(async (context) => {
  await setUpProcess(context, { upstreamCount: 3, listedCount: 2 });
});

test.after.each(tearDownProcess);

function putOddEntries({ store }: ProcessContext): void {
  oddEntries.forEach((text, index) => {
    store.put(`servers/odd-${String(index)}`, text);
  });
  oddIds.forEach((id) => {
    store.put(`servers/${id}`, sound);
  });
}

/** Checks that a router serves, that it follows the registry, and that its log lines are bounded. */
async function assertFollows(context: ProcessContext): Promise<void> {
  const third = context.upstreams[2];
  assert.ok(third);
  context.store.publishUpstream(third);
  await waitFor(() =>
    context.router.getLines("upstream.changed").some((line) => line.includes("upstream=i-3")),
  );
  const servers = context.upstreams.slice(0, 2);
  await Promise.all(servers.map((upstream) => upstream.close()));
  let served = 0;
  for (let index = 0; served < requestCount; index += 1) {
    const { status } = await callProcess(context, "/read/1", `q-${String(index)}`);
    assert.ok(status > 0, "each request is answered");
    served += status === 200 ? 1 : 0;
    assert.ok(index < maxRequests, `${String(served)} of ${String(index)} requests were served`);
  }
  assert.ok(third.received.length >= requestCount);
  assert.is(context.router.hasExited(), false);
  assert.equal(context.router.getLines("daemon.fault"), []);
  const longest = Math.max(...context.router.getAllLines().map(({ length }) => length));
  assert.ok(longest <= maxLineLength, `a log line of ${String(longest)} characters`);
}

// Guards against processes that end, or stop to follow the list, because of an entry of another writer (LOST).
test("a router serves and follows the registry, whatever entries come at once", async (context) => {
  putOddEntries(context);
  await assertFollows(context);
});

test("a router that starts on the whole list does so, too", async (context) => {
  putOddEntries(context);
  await context.router.kill();
  context.router = await RouterProcess.start(context.store, 2);
  await assertFollows(context);
});

test("an odd configuration leaves the last sound one in force", async (context) => {
  oddConfigurations.forEach((text) => {
    context.store.put("op/config", text);
  });
  context.store.publishConfiguration({
    version: 20,
    timeoutMilliseconds: processTimeoutMilliseconds,
  });
  await waitFor(() =>
    context.router.getLines("configuration.in-force").some((line) => line.includes("version=20")),
  );
  await assertFollows(context);
});

test.run();
