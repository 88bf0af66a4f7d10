import { suite } from "uvu";
import * as assert from "uvu/assert";
import {
  formatFinding,
  getConfigurationDigest,
  maxConfigurationBytes,
  parseConfiguration,
} from "@pistachioway/kernel";
import { sampleText } from "./sample.js";

/** Gets the findings of a text, formatted as one line each. */
function getFindings(text: string): string[] {
  const result = parseConfiguration(text);
  return result.isErr ? result.error.findings.map(formatFinding) : [];
}

const test = suite("parseConfiguration");

test("fills in the defaults of an accepted file", () => {
  const result = parseConfiguration(sampleText);
  assert.equal(result.isOk ? result.value : result.error.findings, {
    generation: 2,
    load: { bound: 1.25 },
    retries: { budgetRatio: 0.1 },
    weightStore: { loadsPerMinute: 6 },
    zones: [{ name: "north", region: "west" }],
    models: [{ name: "brief", version: "1", adapters: ["routes"] }],
    engines: [
      {
        name: "e1",
        zone: "north",
        models: ["brief"],
        slots: 32,
        weight: 1,
        checksFencing: false,
        role: "serve",
      },
    ],
    services: [
      {
        name: "records",
        hosts: [{ name: "r1", zone: "north" }],
        routes: [{ method: "GET", path: "/", repeatable: true }],
      },
    ],
    teams: [
      {
        name: "drivers",
        tokenSha256: "a".repeat(64),
        priority: 5,
        share: 1,
        maxConcurrent: 1000,
      },
    ],
  });
});

test("lists shape and reference errors together, with their lines", () => {
  const text = sampleText
    .replace("generation = 2", "generation = 0\ncolour = 1")
    .replace('zone = "north"\nmodels = ["brief"]', 'zone = "south"\nmodels = ["poem"]\nslots = "x"')
    .replace("repeatable = true", "")
    .concat(`[[teams]]\nname = "drivers"\ntokenSha256 = "${"a".repeat(64)}"\n`)
    .concat('[[teams]]\nname = "cooks"\ntokenSha256 = "my-plain-token"\npriority = 12\n');
  assert.equal(getFindings(text), [
    "line 1: generation: is too small (found 0); allowed: at least 1",
    'line 2: colour: "colour" is not a known key; allowed: generation, load, retries, weightStore, zones, models, engines, services, teams',
    'line 9: models[0].name: no engine serves model "brief" (found "brief"); allowed: a model that an engine outside role standby lists',
    'line 15: engines[0].zone: zone "south" is not in the configuration (found "south"); allowed: north',
    'line 16: engines[0].models[0]: model "poem" is not in the configuration (found "poem"); allowed: brief',
    'line 17: engines[0].slots: has the wrong type (found "x"); allowed: number',
    "line 23: services[0].routes[0].repeatable: is missing; allowed: boolean",
    'line 32: teams[1].name: team "drivers" is already at teams[0].name (found "drivers"); allowed: each only once',
    "line 33: teams[1].tokenSha256: token hash (hidden) is already at teams[0].tokenSha256 (found (hidden)); allowed: each only once",
    "line 36: teams[2].tokenSha256: is not allowed (found (hidden)); allowed: must be 64 lower-case hexadecimal digits",
    "line 37: teams[2].priority: is too large (found 12); allowed: at most 9",
  ]);
});

test("refuses a truncated text wherever a line is cut", () => {
  const kinds = new Set<string>();
  for (let length = 1; length < sampleText.length - 1; length++) {
    const result = parseConfiguration(sampleText.slice(0, length));
    assert.ok(result.isErr, `the first ${String(length)} characters were accepted`);
    kinds.add(result.error.findings[0]?.kind ?? "none");
  }
  assert.equal([...kinds].sort(), ["shape", "truncated"]);
});

test("refuses a text that is too large, and shortens a value that is nearly as large", () => {
  const long = "x".repeat(maxConfigurationBytes - sampleText.length);
  assert.equal(getFindings(`${sampleText}# ${long}\n`), [
    `the file is too large (found ${String(maxConfigurationBytes + 3)} bytes); allowed: at most ${String(maxConfigurationBytes)} bytes`,
  ]);
  assert.equal(getFindings(sampleText.replace('"west"', `"${long.slice(8)}"`)), [
    `line 5: zones[0].region: is not allowed (found "${"x".repeat(79)}…); allowed: must be 1 to 63 of a-z, 0-9, '.' and '-'`,
  ]);
});

test("hashes the text as published", () => {
  assert.is(
    getConfigurationDigest("abc"),
    "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
  );
});

test.run();
