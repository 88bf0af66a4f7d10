import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { ProcessEnd } from "../errors/index.js";
import { ManagedProcess } from "../fleet/index.js";
import { handlesSignal } from "./handlesSignal.js";

/** Ports of a router; they are the same on all hosts. */
export interface RouterPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly operations: number;
  readonly datagrams: number;
}

/** How the process of a router is started. */
export interface RouterProgram {
  /** JavaScript file to run. */
  readonly file: string;
  /** Options of the Node.js process. */
  readonly nodeOptions: readonly string[];
  /** Receives every line of its output. */
  readonly onLine: (line: string) => void;
}

/** Lets a router read its settings again. */
const reloadSignal = "SIGHUP";
const readyEvent = "event=daemon.listening";
/** Separates the outputs of the processes of a router. */
const restartLine = "--- started again ---";

/** Runs the built sources. */
export const builtProgram: RouterProgram = {
  file: fileURLToPath(new URL("routerMain.js", import.meta.resolve("@pistachioway/daemon"))),
  nodeOptions: [],
  onLine: () => undefined,
};

/** A router in a process of its own, which can be restarted under the same name. */
export class RouterProcess {
  private process: ManagedProcess | undefined;
  private isStopping = false;
  /** The process that got its last reload before it handled the signal, which ends it then. */
  private earlyReloadedProcess: ManagedProcess | undefined;
  private repeatedStarts = 0;
  /** Folder of the settings, which a reload reads again. */
  private folder: string | undefined;
  /** Whether a restart or pause is under way, so that no other one may start. */
  isDisturbed = false;
  private readonly lines: string[] = [];

  private constructor(
    readonly name: string,
    readonly host: string,
    private readonly ports: RouterPorts,
    private readonly registry: string,
    private readonly program: RouterProgram,
  ) {}

  /**
   * Creates a router that is not started.
   * @param name - Name of the router.
   * @param host - Loopback address that it listens on.
   * @param ports - Ports that it listens on.
   * @param registry - Address of the registry, or of a link to it.
   * @param program - How it is started; by default from the built sources.
   */
  static create(
    name: string,
    host: string,
    ports: RouterPorts,
    registry: string,
    program = builtProgram,
  ): RouterProcess {
    return new RouterProcess(name, host, ports, registry, program);
  }

  /** Gets the address that callers connect to. */
  get callerAddress(): string {
    return this.getAddress("callers");
  }

  /** Gets the address of a listener. */
  getAddress(listener: keyof RouterPorts): string {
    return `${this.host}:${String(this.ports[listener])}`;
  }

  /** Gets how the last process ended; both parts are null while it runs. */
  getEnd(): ProcessEnd {
    return this.process?.getEnd() ?? { exitCode: null, signal: null };
  }

  /** Gets how many starts were repeated as a reload ended them before the program handled its signal. */
  getRepeatedStarts(): number {
    return this.repeatedStarts;
  }

  /** Gets the whole output of all processes of this router, in the order of their starts. */
  getOutput(): string {
    return this.lines.join("\n");
  }

  /** Checks whether the process exited although it was not stopped. */
  hasExitedUnexpectedly(): boolean {
    return !this.isStopping && this.process?.isRunning() === false;
  }

  /**
   * Starts the process and resolves when it listens. A start that a reload ends before the program handles its signal is
   * repeated, as whoever starts processes does.
   */
  async start(): Promise<void> {
    for (;;) {
      try {
        await this.startOnce();
        return;
      } catch (error) {
        if (!this.isEndedByEarlyReload()) {
          throw error;
        }
        this.repeatedStarts += 1;
      }
    }
  }

  /** Lets the process read its settings again. */
  reload(): void {
    const { process } = this;
    if (process?.pid === undefined || !process.isRunning()) {
      return;
    }
    const isEarly = !handlesSignal(process.pid, reloadSignal);
    this.earlyReloadedProcess = isEarly ? process : undefined;
    process.signal(reloadSignal);
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  /** Stops the process with a signal, and resolves when it has exited. */
  async stop(signal: "SIGTERM" | "SIGKILL"): Promise<void> {
    this.isStopping = true;
    this.process?.signal(signal);
    await this.process?.waitForExit();
    await this.removeSettings();
  }

  private async startOnce(): Promise<void> {
    const file = await this.writeSettings();
    const { file: main, nodeOptions, onLine } = this.program;
    const args = ["--settings", file];
    if (this.lines.length > 0) {
      this.lines.push(restartLine);
    }
    const parseLine = (line: string) => {
      this.lines.push(line);
      onLine(line);
      return line.includes(readyEvent) ? {} : undefined;
    };
    const process = ManagedProcess.spawn(this.name, main, args, parseLine, nodeOptions);
    this.process = process.started;
    try {
      await process.ready;
      this.isStopping = false;
    } catch (error) {
      await this.removeSettings();
      throw error;
    }
  }

  /** Writes the settings to a new folder, and gets the file. */
  private async writeSettings(): Promise<string> {
    this.folder = await mkdtemp(join(tmpdir(), "pistachioway-soak-"));
    const file = join(this.folder, "router.toml");
    await writeFile(file, this.createSettings());
    return file;
  }

  private async removeSettings(): Promise<void> {
    if (this.folder !== undefined) {
      await rm(this.folder, { recursive: true, force: true });
    }
  }

  private isEndedByEarlyReload(): boolean {
    const isEarly = this.process !== undefined && this.process === this.earlyReloadedProcess;
    return isEarly && this.getEnd().signal === reloadSignal;
  }

  private createSettings(): string {
    const formatAddress = (port: number) => `"${this.host}:${String(port)}"`;
    const { callers, readiness, operations, datagrams } = this.ports;
    return [
      `[process]\nname = "${this.name}"\nzone = "north"`,
      `[listeners]\ncallers = ${formatAddress(callers)}\nreadiness = ${formatAddress(readiness)}`,
      `operations = ${formatAddress(operations)}\ndatagrams = ${formatAddress(datagrams)}`,
      `[registry]\naddress = "${this.registry}"`,
      `[peers]\nseeds = ["127.0.0.1:${String(operations)}", "127.0.0.2:${String(operations)}"]`,
      `[retries]\nratio = 0.2\nslack = 56\n`,
    ].join("\n");
  }
}
