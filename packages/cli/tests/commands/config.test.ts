import { createHash } from "node:crypto";
import { mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { parseConfiguration } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { runCli } from "../runCli.js";

const examples = fileURLToPath(new URL("../../../../examples/", import.meta.url));
const callaloo = join(examples, "callaloo.toml");
const ballycorrig = join(examples, "ballycorrig.toml");

const test = suite("config");

test("accepts the example configurations and prints their sizes", async () => {
  const runs = await Promise.all(
    [callaloo, ballycorrig].map((file) => runCli("config", "check", file)),
  );
  assert.equal(
    runs.map(({ code, output }) => [
      code,
      output.slice(examples.length).replace(/digest .*\n/, ""),
    ]),
    [
      [
        0,
        "callaloo.toml: accepted, generation 1, 4 zones, 3 models, 13 engines, 4 service hosts, 10 teams, ",
      ],
      [
        0,
        "ballycorrig.toml: accepted, generation 1, 3 zones, 2 models, 13 engines, 3 service hosts, 10 teams, ",
      ],
    ],
  );
});

test("keeps the hashes of the documented demo tokens in the examples", async () => {
  for (const file of [callaloo, ballycorrig]) {
    const { teams } = parseConfiguration(await readFile(file, "utf8")).unwrapOrElse((error) => {
      throw error;
    });
    assert.equal(
      teams.map(({ tokenSha256 }) => tokenSha256),
      teams.map(({ name }) => createHash("sha256").update(`demo-${name}`).digest("hex")),
    );
  }
});

test("lists every finding of a refused file and exits with 1", async () => {
  const folder = await mkdtemp(join(tmpdir(), "pistachioway-"));
  try {
    const file = join(folder, "bad.toml");
    await writeFile(file, "zones = 3\nmodels = []\nteams = [{ name = 'A' }]\n");
    const run = await runCli("config", "check", file);
    assert.equal(
      { ...run, output: run.output.replaceAll(file, "bad.toml") },
      {
        code: 1,
        errors: "",
        output: `bad.toml: engines: is missing; allowed: array
bad.toml: line 1: zones: has the wrong type (found 3); allowed: array
bad.toml: line 2: models: is too small (found an array of 0); allowed: at least 1 item(s)
bad.toml: line 3: teams[0].name: is not allowed (found "A"); allowed: must be 1 to 63 of a-z, 0-9, '.' and '-'
bad.toml: line 3: teams[0].tokenSha256: is missing; allowed: string
bad.toml: refused, 5 error(s)
`,
      },
    );
  } finally {
    await rm(folder, { recursive: true });
  }
});

test("exits with 2 when a file cannot be read", async () => {
  const run = await runCli("config", "check", "--json", "/nonexistent.toml");
  assert.equal(
    [run.code, JSON.parse(run.output)],
    [
      2,
      {
        error: {
          code: "file",
          message:
            "file \"/nonexistent.toml\" cannot be read or written: ENOENT: no such file or directory, stat '/nonexistent.toml'",
        },
      },
    ],
  );
});

test("diff reports no changes for the same file, and with --exit-code exits with 1 on a change", async () => {
  const same = await runCli("config", "diff", callaloo, callaloo, "--exit-code", "--json");
  const other = await runCli("config", "diff", callaloo, ballycorrig, "--exit-code");
  assert.equal([same.code, JSON.parse(same.output)], [0, { changes: [], refused: [] }]);
  assert.is(other.code, 1);
  assert.match(other.output, /^~ load\.bound: 1\.25 -> 1\.2$/m);
});

test.run();
