import { suite } from "uvu";
import * as assert from "uvu/assert";
import { diffConfigurations, parseConfiguration, type Configuration } from "@pistachioway/kernel";
import { sampleText } from "./sample.js";

function parseOrThrow(text: string): Configuration {
  return parseConfiguration(text).unwrapOrElse((error) => {
    throw error;
  });
}

const test = suite("diffConfigurations");

test("lists added, removed and changed values by name", () => {
  const text = sampleText
    .replace("generation = 2", "generation = 3")
    .replace(
      "[[engines]]",
      '[[engines]]\nname = "e0"\nzone = "north"\nmodels = ["brief"]\n[[engines]]',
    )
    .replace('adapters = ["routes"]', 'adapters = ["menus"]')
    .replace('name = "r1"', 'name = "r2"')
    .replace("repeatable = true", "repeatable = false");
  assert.equal(diffConfigurations(parseOrThrow(sampleText), parseOrThrow(text)), [
    { kind: "changed", path: "generation", before: 2, after: 3 },
    { kind: "changed", path: "models.brief.adapters", before: ["routes"], after: ["menus"] },
    {
      kind: "added",
      path: "engines.e0",
      after: {
        name: "e0",
        zone: "north",
        models: ["brief"],
        slots: 32,
        weight: 1,
        checksFencing: false,
        role: "serve",
      },
    },
    { kind: "removed", path: "services.records.hosts.r1", before: { name: "r1", zone: "north" } },
    { kind: "added", path: "services.records.hosts.r2", after: { name: "r2", zone: "north" } },
    {
      kind: "changed",
      path: "services.records.routes.GET /.repeatable",
      before: true,
      after: false,
    },
  ]);
});

test("finds no change where only the order of the file differs", () => {
  const zone = '[[zones]]\nname = "north"\nregion = "west"\n';
  const moved = sampleText.replace(zone, "").concat(zone);
  assert.equal(diffConfigurations(parseOrThrow(sampleText), parseOrThrow(moved)), []);
});

test.run();
