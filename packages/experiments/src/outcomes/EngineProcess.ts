import { fileURLToPath } from "node:url";
import { ManagedProcess } from "../fleet/index.js";
import { engineHost } from "./hosts.js";
import type { EngineArguments } from "./schema.js";

const program = fileURLToPath(new URL("engineMain.js", import.meta.url));
const linePattern =
  /^event=(?<event>\w+) (?:request=(?<request>\S+)|port=(?<port>\d+))(?: variant=(?<variant>\S+))?$/;

/** How an engine answers, whatever its ids and its address are. */
export type EngineBehaviour = Omit<EngineArguments, "ids" | "port">;

/** Receives what the engines do. */
export interface EngineListener {
  readonly onRun: (id: string, engine: string) => void;
  readonly onFault: (id: string, variant: string) => void;
}

/** An engine in a process of its own, which keeps its address when it is started again. */
export class EngineProcess {
  private process: ManagedProcess | undefined;
  private starts = 0;
  private port = 0;

  private constructor(
    private readonly name: string,
    private readonly behaviour: EngineBehaviour,
    private readonly entries: number,
    private readonly listener: EngineListener,
  ) {}

  /**
   * Creates an engine that is not started.
   * @param name - Name of the engine; its ids begin with it.
   * @param behaviour - How it answers.
   * @param entries - Number of its ids.
   * @param listener - Receives what it does.
   */
  static create(
    name: string,
    behaviour: EngineBehaviour,
    entries: number,
    listener: EngineListener,
  ): EngineProcess {
    return new EngineProcess(name, behaviour, entries, listener);
  }

  /** Gets the ids of the last start, under which the registry lists the engine; the first is its name. */
  get ids(): readonly [string, ...string[]] {
    const id = `${this.name}-${String(this.starts)}`;
    const others = Array.from(
      { length: this.entries - 1 },
      (_, index) => `${id}.${String(index + 2)}`,
    );
    return [id, ...others];
  }

  get address(): string {
    return `${engineHost}:${String(this.port)}`;
  }

  /** Starts the process under new ids, and resolves when it listens. */
  async start(): Promise<void> {
    this.starts += 1;
    const { ids, port } = this;
    const [id] = ids;
    const argument = JSON.stringify({ ...this.behaviour, ids, port });
    const readLine = (line: string) => this.readLine(line, id);
    this.process = await ManagedProcess.start(id, program, [argument], readLine);
  }

  /** Sends a signal to the process. */
  signal(signal: NodeJS.Signals): void {
    this.process?.signal(signal);
  }

  /** Kills the process and resolves when it has exited. */
  async kill(): Promise<void> {
    await this.process?.kill();
  }

  private readLine(line: string, engine: string): Record<string, string> | undefined {
    const { event, request = "", port, variant = "" } = linePattern.exec(line)?.groups ?? {};
    if (event === "run") {
      this.listener.onRun(request, engine);
    } else if (event === "fault") {
      this.listener.onFault(request, variant);
    } else if (port !== undefined) {
      this.port = Number(port);
      return { engine: this.address };
    }
    return undefined;
  }
}
