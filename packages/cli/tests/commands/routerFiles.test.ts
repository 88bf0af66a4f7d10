import { decodeConfiguration } from "@pistachioway/platform";
import { createPublishedConfiguration } from "@pistachioway/standins";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeDaemon } from "../FakeDaemon.js";
import { exitCodes } from "@pistachioway/cli";
import { runCli } from "../runCli.js";

const test = suite("router check, router diff");

let folder = "";

test.before(async () => {
  folder = await mkdtemp(join(tmpdir(), "pistachioway-published-"));
});

test.after(async () => {
  await rm(folder, { recursive: true });
});

async function write(name: string, value: unknown): Promise<string> {
  const file = join(folder, name);
  await writeFile(file, typeof value === "string" ? value : JSON.stringify(value));
  return file;
}

test("accepts a published configuration", async () => {
  const file = await write("whole.json", createPublishedConfiguration({ version: 7 }));
  assert.equal(await runCli("router", "check", file), {
    code: 0,
    errors: "",
    output: `${file}: accepted, version 7, 4 routes, 1 services, 1 teams, 0 fault(s)\n`,
  });
});

test("lists entries that routers would ignore, and refused files", async () => {
  const whole = JSON.stringify(createPublishedConfiguration());
  const text = whole.replace('"/read/"', '"read"').replace('"name":"records"', '"name":"x"');
  const faulty = await write("faulty.json", text);
  const refused = await write("refused.json", "{");
  const runs = [await runCli("router", "check", faulty), await runCli("router", "check", refused)];
  assert.equal(
    runs.map(({ code }) => code),
    [1, 1],
  );
  assert.match(runs[0]?.output ?? "", 'route 0: "prefix" must start and end with a slash');
  assert.match(
    runs[0]?.output ?? "",
    'route "act" sends to service "records", which is not listed',
  );
  assert.match(runs[1]?.output ?? "", `${refused}: refused`);
});

test("shows differences by name, with keys hashed", async () => {
  const before = await write("before.json", createPublishedConfiguration({ version: 7 }));
  const changed = createPublishedConfiguration({ version: 9, keys: ["k-2"] });
  const after = await write("after.json", changed);
  const run = await runCli("router", "diff", before, after, "--exit-code");
  assert.is(run.code, 1);
  assert.equal(run.output.split("\n"), [
    "~ version: 7 -> 9",
    '~ teams.callaloo.keys: ["sha256:7c35c5a1785d"] -> ["sha256:ab8460920d12"]',
    "",
  ]);
});

// Guards against a configuration that is published although routers ignore it, or although one of its entries does nothing.
test("compares a configuration with the version in force, and names its entries without effect", async () => {
  const document = createPublishedConfiguration({ version: 7 });
  const routing = decodeConfiguration(JSON.stringify(document)).map((decoded) => decoded.routing);
  const daemon = await FakeDaemon.create({
    "/peer-state?known=-1": { version: 7, routing: routing.unwrapOr(undefined as never) },
  });
  const text = JSON.stringify(createPublishedConfiguration({ version: 7, keys: ["k-2"] }));
  const file = await write("older.json", text.replace('"goal_ms":', '"goal_ms":9'));
  const run = await runCli("router", "check", file, "--daemon", daemon.getAddress());
  daemon.close();
  assert.is(run.code, 1);
  assert.match(run.output, /contradiction: the objective of route "\S+" of \d+ ms is later than/);
  assert.match(run.output, "ignored by routers, since version 7 is not higher than 7");
  assert.match(run.output, '~ teams.callaloo.keys: ["sha256:7c35c5a1785d"] ->');
});

test("reports a router that does not answer", async () => {
  const file = await write("new.json", createPublishedConfiguration({ version: 8 }));
  const run = await runCli("router", "check", file, "--daemon", "127.0.0.1:1");
  assert.equal([run.code, run.errors.startsWith("error: ")], [exitCodes.unreachable, true]);
});

test.run();
