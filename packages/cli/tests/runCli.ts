import { spawn } from "node:child_process";
import { fileURLToPath } from "node:url";

const program = fileURLToPath(new URL("../bin/run.js", import.meta.url));

/** The output and exit code of one run of the command line. */
export interface CliRun {
  readonly code: number | null;
  readonly output: string;
  readonly errors: string;
}

/**
 * Runs the command line in a child process.
 * @param args - Arguments.
 */
export function runCli(...args: readonly string[]): Promise<CliRun> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, [program, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, PISTACHIOWAY_DAEMONS: "" },
    });
    let output = "";
    let errors = "";
    child.stdout.on("data", (chunk: Buffer) => (output += chunk.toString()));
    child.stderr.on("data", (chunk: Buffer) => (errors += chunk.toString()));
    child.on("error", reject);
    child.on("close", (code) => {
      resolve({ code, output, errors });
    });
  });
}
