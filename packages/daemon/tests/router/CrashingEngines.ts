import {
  respondWith,
  ScriptedUpstream,
  type ReceivedRequest,
  type RegistryStore,
  type Script,
} from "@pistachioway/standins";
import type { ServerResponse } from "node:http";

/** Options of the engines. */
export interface CrashingEnginesOptions {
  readonly count: number;
  /** Checks whether a request crashes each engine that runs it. */
  readonly isCrashing: (request: ReceivedRequest) => boolean;
  /** Time after a crash at which another engine takes the place of the crashed one. */
  readonly restartMilliseconds?: number;
}

const usualRestartMilliseconds = 400;

const writeMilliseconds = 120;
const eventMilliseconds = 30;
/** Time from the first event of an engine until its crash. */
const crashDelayMilliseconds = 5;
const streamPrefix = "/once/";

/**
 * Checks whether the prompt of a request has a block.
 * @param block - Id of the block.
 */
export function hasBlock(block: string): (request: ReceivedRequest) => boolean {
  return ({ headers }) =>
    String(headers["prompt-prefix"])
      .split(",")
      .some((each) => each.startsWith(block));
}

/** Engines that crash on some requests; each is back a little later under a new id. */
export class CrashingEngines {
  /** When each crash happened, in milliseconds. */
  readonly crashes: number[] = [];
  /** When each crashing request reached an engine, in milliseconds. */
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
      const isCrashing = this.options.isCrashing(request);
      if (isCrashing) {
        this.arrivals.push(performance.now());
        setTimeout(() => {
          this.crash(engine);
        }, eventMilliseconds + crashDelayMilliseconds);
      }
      if (request.path.startsWith(streamPrefix)) {
        writeStream(request, response);
      } else {
        setTimeout(() => {
          respondWith("whole")(request, response);
        }, writeMilliseconds);
      }
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
    }, this.options.restartMilliseconds ?? usualRestartMilliseconds);
  }
}

/** Writes two events. */
function writeStream({ id }: ReceivedRequest, response: ServerResponse): void {
  const head = { "request-id": id, "response-stamp": `stamp-${id}` };
  response.writeHead(200, { ...head, "content-type": "text/event-stream" });
  response.flushHeaders();
  setTimeout(() => response.write("id: 1\ndata: piece 1\n\n"), eventMilliseconds);
  setTimeout(() => response.end("id: 2\ndata: piece 2\n\n"), writeMilliseconds);
}
