import { configurationSchema } from "@pistachioway/kernel";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ConfigurationIndex } from "../../dist/state/index.js";

const configuration = configurationSchema.parse({
  zones: [{ name: "z", region: "r" }],
  models: [{ name: "m", version: "1" }],
  engines: [
    { name: "e1", zone: "z", models: ["m"] },
    { name: "e2", zone: "z", models: ["m"], role: "standby" },
  ],
  services: [
    {
      name: "booking",
      hosts: [{ name: "b1", zone: "z" }],
      routes: [
        { method: "POST", path: "/lookups", repeatable: true },
        { method: "POST", path: "/lookups/paid", repeatable: false },
      ],
    },
  ],
  teams: [{ name: "t", tokenSha256: "0".repeat(64) }],
});

const test = suite("ConfigurationIndex");

test("the longest prefix of whole path segments decides whether a call is idempotent", () => {
  const index = ConfigurationIndex.create(configuration);
  const service = index.getService("booking");
  const isRepeatable = (method: string, path: string): boolean =>
    service !== undefined && index.isRepeatable(service, method, path);
  assert.equal(
    [
      isRepeatable("POST", "/lookups"),
      isRepeatable("POST", "/lookups/diet"),
      isRepeatable("POST", "/lookups/paid/1"),
      isRepeatable("POST", "/lookupsandcharges"),
      isRepeatable("GET", "/lookups"),
      isRepeatable("POST", "/charges"),
    ],
    [true, true, false, false, false, false],
  );
});

test("a standby engine serves no chat", () => {
  assert.equal(ConfigurationIndex.create(configuration).getEngines("m"), ["e1"]);
});

test.run();
