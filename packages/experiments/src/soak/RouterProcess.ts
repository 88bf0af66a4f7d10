import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { ManagedProcess } from "../fleet/index.js";

/** Where a router listens; the ports are the same on all hosts. */
export interface RouterPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly operations: number;
  readonly datagrams: number;
}

const readyEvent = "event=daemon.listening";

/** A router as a process of its own, which can be started again under its name. */
export class RouterProcess {
  private process: ManagedProcess | undefined;
  private isStopping = false;
  /** Whether a signal or restart is under way that no other one may join. */
  isDisturbed = false;
  private readonly endedOutputs: string[] = [];

  private constructor(
    readonly name: string,
    readonly host: string,
    private readonly ports: RouterPorts,
    private readonly registry: string,
  ) {}

  /**
   * Creates a router that is not started.
   * @param name - Name of the router.
   * @param host - Loopback address that it listens on.
   * @param ports - Its ports.
   * @param registry - Address of the registry, or of a link before it.
   */
  static create(name: string, host: string, ports: RouterPorts, registry: string): RouterProcess {
    return new RouterProcess(name, host, ports, registry);
  }

  /** Gets the address for callers. */
  get callerAddress(): string {
    return `${this.host}:${String(this.ports.callers)}`;
  }

  /** Gets the output of each process that ended, and of the one that runs. */
  getOutput(): string {
    return [...this.endedOutputs, this.process?.getOutput() ?? ""].join(
      "\n--- started again ---\n",
    );
  }

  /** Tells whether the process ended without being told to. */
  hasExitedUnexpectedly(): boolean {
    return !this.isStopping && this.process?.isRunning() === false;
  }

  /** Starts the process and resolves when it listens. */
  async start(): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "pistachioway-soak-"));
    const file = join(folder, "router.toml");
    await writeFile(file, this.createSettings());
    const main = new URL("routerMain.js", import.meta.resolve("@pistachioway/daemon"));
    const args = ["--settings", file];
    const read = (line: string) => (line.includes(readyEvent) ? {} : undefined);
    try {
      this.process = await ManagedProcess.start(this.name, fileURLToPath(main), args, read);
      this.isStopping = false;
    } finally {
      await rm(folder, { recursive: true, force: true });
    }
  }

  /** Sends a signal. */
  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  /** Ends the process by a signal, and resolves when it is gone. */
  async stop(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    this.isStopping = true;
    this.process?.signal(signal);
    await this.process?.waitForExit();
    this.endedOutputs.push(this.process?.getOutput() ?? "");
  }

  private createSettings(): string {
    const at = (port: number) => `"${this.host}:${String(port)}"`;
    const { callers, readiness, operations, datagrams } = this.ports;
    return [
      `[process]\nname = "${this.name}"\nzone = "north"`,
      `[listeners]\ncallers = ${at(callers)}\nreadiness = ${at(readiness)}`,
      `operations = ${at(operations)}\ndatagrams = ${at(datagrams)}`,
      `[registry]\naddress = "${this.registry}"`,
      `[peers]\nseeds = ["127.0.0.1:${String(operations)}", "127.0.0.2:${String(operations)}"]`,
      `[retries]\nratio = 0.2\nslack = 56\n`,
    ].join("\n");
  }
}
