import { once } from "node:events";
import { execFile, spawn } from "node:child_process";
import { access, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { suite } from "uvu";
import * as assert from "uvu/assert";

interface Context {
  folder: string;
}

const test = suite<Context>("the bundle of the router");
const bundler = fileURLToPath(new URL("../../../../scripts/bundle.mjs", import.meta.url));
/** Takes the place of the bundle's rest: it takes a second to load. */
const slowRest = `
process.stdout.write("loading");
const end = performance.now() + 1_000;
while (performance.now() < end);
export const runRouter = async () => {
  process.stdout.write(" loaded");
};
`;

test.before.each(async (context) => {
  context.folder = await mkdtemp(join(tmpdir(), "pistachioway-bundle-"));
});

test.after.each(async ({ folder }) => {
  await rm(folder, { recursive: true });
});

// Guards against a signal for a reload that ends a process while it loads its program (FAULT, issue 45).
test("goes on after a signal for a reload that comes while it is loaded", async ({ folder }) => {
  await promisify(execFile)(process.execPath, [bundler, folder]);
  const rest = join(folder, "runRouter.mjs");
  await access(rest);
  await writeFile(rest, slowRest);
  const args = [join(folder, "pistachiowayd.mjs"), "--settings", "unused"];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => {
    output += chunk.toString();
    if (output === "loading") {
      child.kill("SIGHUP");
    }
  });
  const [exitCode, signal] = (await once(child, "close")) as [number | null, string | null];
  assert.equal(
    { exitCode, signal, output },
    { exitCode: 0, signal: null, output: "loading loaded" },
  );
});

test.run();
