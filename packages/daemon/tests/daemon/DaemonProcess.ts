import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";

/** Listeners of a daemon, in the order of their ports. */
export const listeners = ["callers", "peers", "operations", "datagrams"] as const;

/** How a process ended. */
export interface ProcessExit {
  readonly exitCode: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** First file of a program: of the product's own daemon, or of a router. */
export type Program = "main.js" | "routerMain.js";

const checkMilliseconds = 20;
const timeoutMilliseconds = 60_000;
/** Address on loopback where nothing listens. */
const unusedAddress = "127.0.0.1:9";

/** A daemon in a process of its own. */
export class DaemonProcess {
  private child: ChildProcess | undefined;
  private output = "";
  private exit: Promise<ProcessExit> | undefined;

  private constructor(
    private readonly folder: string,
    private readonly program: Program,
  ) {}

  /**
   * Creates a process that is not started and has no settings.
   * @param program - First file of the program.
   */
  static async create(program: Program = "main.js"): Promise<DaemonProcess> {
    return new DaemonProcess(await mkdtemp(join(tmpdir(), "pistachioway-start-")), program);
  }

  /** Path of the settings file. */
  get file(): string {
    return join(this.folder, "daemon.toml");
  }

  /**
   * Writes the settings file.
   * @param text - Text of the file.
   */
  async writeSettings(text: string): Promise<void> {
    await writeFile(this.file, text);
  }

  /**
   * Starts the process.
   * @param nodeOptions - Options of the runtime.
   */
  start(nodeOptions: readonly string[] = []): void {
    const main = fileURLToPath(new URL(this.program, import.meta.resolve("@pistachioway/daemon")));
    const child = spawn(process.execPath, [...nodeOptions, main, "--settings", this.file], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (chunk: Buffer) => (this.output += chunk.toString()));
    }
    this.exit = once(child, "close").then(([exitCode, signal]) => ({
      exitCode: exitCode as number | null,
      signal: signal as NodeJS.Signals | null,
    }));
    this.child = child;
  }

  /** Sends a signal to the process. */
  send(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Gets what the process has written so far. */
  getOutput(): string {
    return this.output;
  }

  /** Checks whether the process has ended. */
  hasExited(): boolean {
    return this.child?.exitCode !== null || this.child.signalCode !== null;
  }

  /** Resolves when the process has ended. */
  async waitForExit(): Promise<ProcessExit> {
    const timeout = delay(timeoutMilliseconds, undefined, { ref: false }).then(() => {
      throw new Error(`does not end: ${this.output}`);
    });
    return Promise.race([this.exit ?? timeout, timeout]);
  }

  /** Resolves when a text is in the output; rejects when the process ends before. */
  async waitForOutput(text: string): Promise<void> {
    const deadline = performance.now() + timeoutMilliseconds;
    while (!this.output.includes(text)) {
      if (this.hasExited() || performance.now() > deadline) {
        throw new Error(`no ${text} of a process that has ended or is late: ${this.output}`);
      }
      await delay(checkMilliseconds);
    }
  }

  /** Ends the process and removes its settings. */
  async close(): Promise<void> {
    this.child?.kill("SIGKILL");
    await this.exit;
    await rm(this.folder, { recursive: true, force: true });
  }
}

/**
 * Creates the settings of a daemon that is alone.
 * @param ports - Ports of its listeners.
 * @param platform - Address of the platform.
 */
export function createDaemonSettings(ports: readonly number[], platform = unusedAddress): string {
  const addresses = listeners.map((name, index) => `${name} = "127.0.0.1:${String(ports[index])}"`);
  return (
    `[process]\nname = "d"\nzone = "north"\n[listeners]\n${addresses.join("\n")}\n` +
    `[platform]\naddress = "${platform}"\n[peers]\nkey = "${"k".repeat(32)}"\n` +
    `[limits]\ndrainMilliseconds = 1000\nunreadyMilliseconds = 100\n`
  );
}
