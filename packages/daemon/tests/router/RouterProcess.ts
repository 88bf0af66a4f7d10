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

const builtProgram = fileURLToPath(
  new URL("routerMain.js", import.meta.resolve("@pistachioway/daemon")),
);
/** Longest time in which a machine loads the program; beyond it the program hangs. */
const loadTimeoutMilliseconds = 60_000;
const loadCheckMilliseconds = 20;

/** Addresses of a router's listeners: one host, and a port for each. */
export interface RouterAddresses {
  readonly host: string;
  readonly callers: number;
  readonly readiness: number;
  readonly operations: number;
  /** Port of datagrams (UDP) and of forwarded requests (TCP). */
  readonly datagrams: number;
  /** Port of the listener for metrics, if there is one. */
  readonly metrics?: number;
}

/** What differs between routers that are launched. */
export interface LaunchOptions {
  /** Addresses of daemons that may run; none by default. */
  readonly seeds?: readonly string[];
  readonly nodeOptions?: readonly string[];
  /** Path of the program; the built sources by default. */
  readonly program?: string;
}

/** A router in a process of its own. */
export class RouterProcess {
  private output = "";
  private isOutputComplete = false;
  private readonly exit: Promise<number | null>;

  private constructor(
    private readonly child: ChildProcess,
    readonly addresses: RouterAddresses,
    private readonly folder: string,
  ) {
    child.stdout?.on("data", (chunk: Buffer) => (this.output += chunk.toString()));
    child.once("close", () => (this.isOutputComplete = true));
    this.exit = once(child, "exit").then(([code]) => code as number | null);
  }

  /**
   * Starts a router, and resolves when it knows the configuration and the upstreams. Loading the program takes as long as
   * the machine needs; what the router does itself must end in time.
   * @param store - Store that publishes them.
   * @param upstreamCount - Number of upstreams that the store publishes.
   * @param options - Seeds of the fleet, program and options of the runtime.
   */
  static async start(
    { address }: RegistryStore,
    upstreamCount: number,
    options: LaunchOptions = {},
  ): Promise<RouterProcess> {
    const addresses = await chooseAddresses("127.0.0.1");
    const router = await RouterProcess.launch(addresses, address, options);
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

  /**
   * Starts a router, and does not wait for anything that it does.
   * @param addresses - Addresses of its listeners.
   * @param registry - Address of the store.
   * @param options - Seeds of the fleet, program and options of the runtime.
   */
  static async launch(
    addresses: RouterAddresses,
    registry: string,
    { seeds = [], nodeOptions = [], program = builtProgram }: LaunchOptions = {},
  ): Promise<RouterProcess> {
    const folder = await mkdtemp(join(tmpdir(), "pistachioway-stop-"));
    const file = join(folder, "router.toml");
    await writeFile(file, createSettings(addresses, registry, seeds));
    const child = spawn(process.execPath, [...nodeOptions, program, "--settings", file], {
      stdio: ["ignore", "pipe", 2],
    });
    return new RouterProcess(child, addresses, folder);
  }

  /** Waits until the program runs; throws when the process exits before, or does not run it at all. */
  async waitUntilLoaded(): Promise<void> {
    const deadline = performance.now() + loadTimeoutMilliseconds;
    while (this.getLines("daemon.starting").length === 0) {
      if (this.child.exitCode !== null || performance.now() > deadline) {
        throw new Error(`the router did not start, exit code ${String(this.child.exitCode)}`);
      }
      await delay(loadCheckMilliseconds);
    }
  }

  /** Port of the callers' listener. */
  get callers(): number {
    return this.addresses.callers;
  }

  /** Gets the exit code once all output has been read; null after a signal, and undefined while the process runs. */
  getExitCode(): number | null | undefined {
    return this.isOutputComplete ? this.child.exitCode : undefined;
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
    const socket = connect(this.addresses.callers, this.addresses.host);
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

  /** Kills the process if it still runs, and gets its exit code; null when it was killed. */
  async kill(): Promise<number | null> {
    this.child.kill("SIGKILL");
    const code = await this.exit;
    await rm(this.folder, { recursive: true, force: true });
    return code;
  }
}

/** Chooses free ports for the listeners of a router on a host of loopback. */
export async function chooseAddresses(host: string): Promise<RouterAddresses> {
  const [callers = 0, readiness = 0, operations = 0, datagrams = 0] = await getFreePorts(4);
  return { host, callers, readiness, operations, datagrams };
}

/** Creates the text of a settings file. */
export function createSettings(
  { host, callers, readiness, operations, datagrams, metrics }: RouterAddresses,
  registry: string,
  seeds: readonly string[],
): string {
  const at = (port: number): string => JSON.stringify(`${host}:${String(port)}`);
  const metricsLine = metrics === undefined ? "" : `metrics = ${at(metrics)}\n`;
  return (
    `[process]\nname = "r-${host}"\nzone = "north"\n[listeners]\ncallers = ${at(callers)}\n` +
    `readiness = ${at(readiness)}\noperations = ${at(operations)}\n` +
    `datagrams = ${at(datagrams)}\n${metricsLine}[registry]\naddress = "${registry}"\n` +
    `[peers]\nseeds = ${JSON.stringify(seeds)}\n`
  );
}
