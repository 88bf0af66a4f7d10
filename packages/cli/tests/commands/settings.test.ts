import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { runCli } from "../runCli.js";

const example = fileURLToPath(new URL("../../../../examples/daemon.toml", import.meta.url));

const routerExample = example.replace("daemon.toml", "router.toml");

const test = suite("settings check");

test("accepts the example of a daemon", async () => {
  assert.equal(await runCli("settings", "check", example), {
    code: 0,
    errors: "",
    output: `${example}: accepted, host entry-north in zone north, platform at 127.0.0.1:7000\n`,
  });
});

test("accepts the example of a router, and lists all issues of an invalid file", async () => {
  assert.equal(await runCli("settings", "check", routerExample), {
    code: 0,
    errors: "",
    output: `${routerExample}: accepted, router entry-north in zone north, registry at 127.0.0.1:7100\n`,
  });
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-"));
  try {
    const file = join(folder, "bad.toml");
    const text = await readFile(routerExample, "utf8");
    await writeFile(file, text.replace(/slack = 56/, "slack = -1").replace(/zone = .*/, ""));
    const run = await runCli("settings", "check", file, "--json");
    const report = JSON.parse(run.output) as { issues: { path: string; line: number }[] };
    assert.is(run.code, 1);
    assert.equal(
      report.issues.map(({ path, line }) => [path, line]),
      [
        ["process.zone", 3],
        ["retries.slack", 26],
      ],
    );
  } finally {
    await rm(folder, { recursive: true });
  }
});

test("lists all issues at once and does not print the peers' shared key", async () => {
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-"));
  try {
    const file = join(folder, "bad.toml");
    const text = await readFile(example, "utf8");
    const bad = text.replace(/key = ".*"/, 'key = "short-secret"').replace("127.0.0.1:8001", "x");
    await writeFile(file, bad);
    const run = await runCli("settings", "check", file, "--json");
    const report = JSON.parse(run.output) as { issues: { path: string; line: number }[] };
    assert.is(run.code, 1);
    assert.equal(
      report.issues.map(({ path, line }) => [path, line]),
      [
        ["listeners.peers", 10],
        ["peers.key", 18],
      ],
    );
    assert.not.match(run.output, "short-secret");
  } finally {
    await rm(folder, { recursive: true });
  }
});

test.run();
