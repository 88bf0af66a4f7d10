import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";
import { suite } from "uvu";
import * as assert from "uvu/assert";

const test = suite("soak");

/** Seeds that once broke a promise, with the cause of each. */
const regressions: Readonly<Record<number, string>> = {};

/** Seeds whose disturbances cover planned stops, kills, faulty upstreams and revocation. */
const usualSeeds = [7, 3218];
const seeds = [...usualSeeds, ...Object.keys(regressions).map(Number)];
const program = fileURLToPath(
  new URL("soak/main.js", import.meta.resolve("@pistachioway/experiments")),
);

for (const seed of seeds) {
  test(`keeps every promise under disturbances of seed ${String(seed)}`, async () => {
    const args = [program, "--seed", String(seed), "--seconds", "8"];
    const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
    let output = "";
    child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
    await once(child, "close");
    assert.is(child.exitCode, 0, output);
    assert.match(output, "1 of 1 runs held");
  });
}

test.run();
