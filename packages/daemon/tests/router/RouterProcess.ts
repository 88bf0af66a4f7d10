import type { RegistryStore } from "@pistachioway/standins";
import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { closeIfFailed } from "./closeIfFailed.js";
import { getFreePorts } from "./getFreePorts.js";
import { waitFor } from "./RouterFixture.js";

const main = fileURLToPath(new URL("routerMain.js", import.meta.resolve("@pistachioway/daemon")));
/** Longest time in which a machine loads the program; beyond it the program hangs. */
const loadTimeoutMilliseconds = 60_000;
const loadCheckMilliseconds = 20;

/** A router in a process of its own. */
export class RouterProcess {
  private output = "";
  private readonly exit: Promise<number | null>;

  private constructor(
    private readonly child: ChildProcess,
    /** Port of the callers' listener. */
    readonly callers: number,
    private readonly folder: string,
  ) {
    child.stdout?.on("data", (chunk: Buffer) => (this.output += chunk.toString()));
    this.exit = once(child, "exit").then(([code]) => code as number | null);
  }

  /**
   * Starts a router, and resolves when it knows the configuration and the upstreams. Loading the program takes as long as
   * the machine needs; what the router does itself must end in time.
   * @param store - Store that publishes them.
   * @param upstreamCount - Number of upstreams that the store publishes.
   * @param nodeOptions - Options of the runtime.
   */
  static async start(
    { address }: RegistryStore,
    upstreamCount: number,
    nodeOptions: readonly string[] = [],
  ): Promise<RouterProcess> {
    const folder = await mkdtemp(join(tmpdir(), "pistachioway-stop-"));
    const [callers = 0, readiness = 0, operations = 0, datagrams = 0] = await getFreePorts(4);
    const at = (port: number): string => `"127.0.0.1:${String(port)}"`;
    const file = join(folder, "router.toml");
    await writeFile(
      file,
      `[process]\nname = "r"\nzone = "north"\n[listeners]\ncallers = ${at(callers)}\n` +
        `readiness = ${at(readiness)}\noperations = ${at(operations)}\n` +
        `datagrams = ${at(datagrams)}\n[registry]\naddress = "${address}"\n`,
    );
    const child = spawn(process.execPath, [...nodeOptions, main, "--settings", file], {
      stdio: ["ignore", "pipe", 2],
    });
    const router = new RouterProcess(child, callers, folder);
    const isReady = (): boolean =>
      router.getLines("configuration.in-force").length > 0 &&
      router.getLines("upstream.changed").length >= upstreamCount;
    await closeIfFailed(
      async () => {
        await router.waitUntilLoaded();
        await waitFor(isReady);
      },
      async () => {
        await router.kill();
      },
    );
    return router;
  }

  /** Gets the log lines of an event. */
  getLines(event: string): readonly string[] {
    return this.getAllLines().filter((line) => line.includes(`event=${event} `));
  }

  /** Gets all lines of the log. */
  getAllLines(): readonly string[] {
    return this.output.split("\n");
  }

  /** Opens a connection as a caller. */
  open(): Socket {
    const socket = connect(this.callers, "127.0.0.1");
    socket.on("error", () => undefined);
    return socket;
  }

  /** Checks whether the process has ended. */
  hasExited(): boolean {
    return this.child.exitCode !== null || this.child.signalCode !== null;
  }

  /** Waits until the process has exited, and gets its exit code. */
  waitForExit(): Promise<number | null> {
    return this.exit;
  }

  /** Sends the signal that begins a planned stop, or ends it when it has begun. */
  terminate(): void {
    this.child.kill("SIGTERM");
  }

  /** Sends the signal at which the process reads its settings again. */
  reload(): void {
    this.child.kill("SIGHUP");
  }

  /** Stops the process where it stands, until it is resumed. */
  pause(): void {
    this.child.kill("SIGSTOP");
  }

  /** Lets a paused process run on. */
  resume(): void {
    this.child.kill("SIGCONT");
  }

  /** Waits until the program runs; throws when the process exits before, or does not run it at all. */
  private async waitUntilLoaded(): Promise<void> {
    const deadline = performance.now() + loadTimeoutMilliseconds;
    while (this.getLines("daemon.starting").length === 0) {
      if (this.child.exitCode !== null || performance.now() > deadline) {
        throw new Error(`the router did not start, exit code ${String(this.child.exitCode)}`);
      }
      await delay(loadCheckMilliseconds);
    }
  }

  /** Kills the process if it still runs, and gets its exit code; null when it was killed. */
  async kill(): Promise<number | null> {
    this.child.kill("SIGKILL");
    const code = await this.exit;
    await rm(this.folder, { recursive: true, force: true });
    return code;
  }
}
