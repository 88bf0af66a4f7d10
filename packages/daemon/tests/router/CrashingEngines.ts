import { ScriptedUpstream, type RegistryStore, type Script } from "@pistachioway/standins";

/** Options of the engines. */
export interface CrashingEnginesOptions {
  readonly count: number;
  /** Id of the prompt block on which each engine crashes when it begins to write. */
  readonly block: string;
}

const restartMilliseconds = 400;
const writeMilliseconds = 120;
const eventMilliseconds = 30;

/** Engines that crash while they write on one prompt block; each is back a little later under a new id. */
export class CrashingEngines {
  /** When each crash happened, in milliseconds. */
  readonly crashes: number[] = [];
  /** When each request with the block reached an engine, in milliseconds. */
  readonly arrivals: number[] = [];
  private readonly running = new Set<ScriptedUpstream>();
  private started = 0;
  private isClosed = false;

  private constructor(
    private readonly store: RegistryStore,
    private readonly options: CrashingEnginesOptions,
  ) {}

  /** Starts the engines and registers them. */
  static async create(
    store: RegistryStore,
    options: CrashingEnginesOptions,
  ): Promise<CrashingEngines> {
    const engines = new CrashingEngines(store, options);
    await Promise.all(Array.from({ length: options.count }, () => engines.start()));
    return engines;
  }

  /** Closes the engines for good. */
  async close(): Promise<void> {
    this.isClosed = true;
    await Promise.all([...this.running].map((engine) => engine.close()));
  }

  private async start(): Promise<void> {
    this.started += 1;
    const engine = ScriptedUpstream.create(`e-${String(this.started)}`);
    engine.setScript(this.createScript(engine));
    await engine.listen();
    this.running.add(engine);
    this.store.publishUpstream(engine);
  }

  private createScript(engine: ScriptedUpstream): Script {
    return (request, response) => {
      const prompt = String(request.headers["prompt-prefix"]);
      const isCrashing = prompt.split(",").some((block) => block.startsWith(this.options.block));
      if (isCrashing) {
        this.arrivals.push(performance.now());
      }
      const head = { "request-id": request.id, "response-stamp": `stamp-${request.id}` };
      response.writeHead(200, { ...head, "content-type": "text/event-stream" });
      response.flushHeaders();
      setTimeout(() => {
        response.write("id: 1\ndata: piece 1\n\n");
        if (isCrashing) {
          this.crash(engine);
        }
      }, eventMilliseconds);
      setTimeout(() => response.end("id: 2\ndata: piece 2\n\n"), writeMilliseconds);
    };
  }

  private crash(engine: ScriptedUpstream): void {
    if (!this.running.delete(engine)) {
      return;
    }
    this.crashes.push(performance.now());
    void engine.close();
    setTimeout(() => {
      this.store.removeUpstream(engine.id);
      if (!this.isClosed) {
        void this.start();
      }
    }, restartMilliseconds);
  }
}
