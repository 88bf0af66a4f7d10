import { spawn } from "node:child_process";
import { once } from "node:events";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(
  new URL("outcomes/main.js", import.meta.resolve("@pistachioway/experiments")),
);

/** The router of the built sources. */
export const router = fileURLToPath(
  new URL("routerMain.js", import.meta.resolve("@pistachioway/daemon")),
);

/**
 * Runs the experiment with one fault.
 * @param fault - The fault.
 * @param further - Further arguments of the command line.
 * @returns Its line of output and its exit code.
 */
export async function runOutcomes(
  fault: string,
  ...further: readonly string[]
): Promise<{ output: string; exitCode: number | null }> {
  const args = ["--site", "crk-trinidad", "--seconds", "3", "--scale", "0.3", "--share", "0.1"];
  const all = [program, ...args, "--fault", fault, "--router", router, ...further];
  const child = spawn(process.execPath, all, { stdio: ["ignore", "pipe", "inherit"] });
  let output = "";
  child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
  await once(child, "close");
  return { output, exitCode: child.exitCode };
}
