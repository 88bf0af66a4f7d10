import { spawn, type ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { ProcessExitError, type ProcessEnd } from "../errors/index.js";

const maxKeptLines = 200;

/** Parses the addresses in a line of output; returns undefined when it is not the ready line. */
export type ReadyLineReader = (line: string) => Record<string, string> | undefined;

/** A child process that prints a line with its addresses when it is ready. */
export class ManagedProcess {
  private readonly lines: string[] = [];
  private addresses: Record<string, string> = {};

  private constructor(
    readonly name: string,
    private readonly child: ChildProcess,
  ) {}

  /**
   * Starts a process and resolves when it is ready.
   * @param name - Name of the process in error messages.
   * @param file - JavaScript file to run.
   * @param args - Command-line arguments.
   * @param readReadyLine - Parses the ready line; receives every line of output.
   * @param nodeOptions - Options of the Node.js process.
   * @throws ProcessExitError when the process exits before it is ready.
   */
  static async start(
    name: string,
    file: string,
    args: readonly string[],
    readReadyLine: ReadyLineReader,
    nodeOptions: readonly string[] = [],
  ): Promise<ManagedProcess> {
    const { started, ready } = ManagedProcess.spawn(name, file, args, readReadyLine, nodeOptions);
    await ready;
    return started;
  }

  /**
   * Starts a process as `start` does.
   * @param name - Name of the process in error messages.
   * @param file - JavaScript file to run.
   * @param args - Command-line arguments.
   * @param readReadyLine - Parses the ready line; receives every line of output.
   * @param nodeOptions - Options of the Node.js process.
   * @returns The process, which may never be ready; `ready` rejects when it exits before.
   */
  static spawn(
    name: string,
    file: string,
    args: readonly string[],
    readReadyLine: ReadyLineReader,
    nodeOptions: readonly string[] = [],
  ): { readonly started: ManagedProcess; readonly ready: Promise<void> } {
    const child = spawn(process.execPath, [...nodeOptions, file, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    const started = new ManagedProcess(name, child);
    return { started, ready: started.waitUntilReady(readReadyLine) };
  }

  /** Checks whether the process has not exited. */
  isRunning(): boolean {
    return this.child.exitCode === null && this.child.signalCode === null;
  }

  /**
   * Gets an address from the ready line.
   * @param key - Name of the listener.
   */
  getAddress(key: string): string | undefined {
    return this.addresses[key];
  }

  /** Gets the last lines of standard output and standard error. */
  getOutput(): string {
    return this.lines.join("\n");
  }

  /**
   * Sends a signal.
   * @param signal - Signal to send.
   */
  signal(signal: NodeJS.Signals): void {
    this.child.kill(signal);
  }

  /** Gets the id of the process; undefined if it could not be spawned. */
  get pid(): number | undefined {
    return this.child.pid;
  }

  /** Gets the exit code; null while the process runs, and when a signal ended it. */
  getExitCode(): number | null {
    return this.child.exitCode;
  }

  /** Gets how the process ended; both parts are null while it runs. */
  getEnd(): ProcessEnd {
    return { exitCode: this.child.exitCode, signal: this.child.signalCode };
  }

  /** Waits until the process has exited and gets its exit code; null when a signal ended it. */
  async waitForExit(): Promise<number | null> {
    if (this.isRunning()) {
      await once(this.child, "exit");
    }
    return this.child.exitCode;
  }

  /** Kills the process and resolves when it has exited. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.waitForExit();
  }

  private async waitUntilReady(readReadyLine: ReadyLineReader): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const handleLine = (line: string) => {
        this.addLine(line);
        const addresses = readReadyLine(line);
        if (addresses !== undefined) {
          this.addresses = addresses;
          resolve();
        }
      };
      for (const stream of [this.child.stdout, this.child.stderr]) {
        if (stream !== null) {
          createInterface({ input: stream }).on("line", handleLine);
        }
      }
      this.child.once("exit", () => {
        reject(new ProcessExitError(this.name, this.getEnd(), this.getOutput()));
      });
    });
  }

  private addLine(line: string): void {
    this.lines.push(line);
    if (this.lines.length > maxKeptLines) {
      this.lines.shift();
    }
  }
}
