import { RegistryStore } from "@pistachioway/standins";
import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../bench/Random.js";
import { pickFreePorts } from "../soak/Installation.js";
import { RouterProcess } from "../soak/RouterProcess.js";
import { EngineProcess, type EngineListener } from "./EngineProcess.js";
import type { FaultWeights } from "./FaultMixture.js";
import { answerFaultNames, type FaultName, type OutcomeOptions } from "./schema.js";
import { sites } from "./sites.js";

const key = "k-1";
/** The options with which the deploy file starts a router. */
const nodeOptions = ["--max-old-space-size=160", "--max-semi-space-size=4"];
/** Time for which the entry of an engine that was killed stays in the registry. */
const staleEntryMilliseconds = 1_500;
/** The options with which a router is started that reaches no engine. */
const unreachedOptions = [
  ...nodeOptions,
  `--import=${new URL("unreachedEngines.js", import.meta.url).href}`,
];

/** Line of a router's log. */
export interface RouterLine {
  /** Name of the router. */
  readonly router: string;
  readonly text: string;
}

/** Router processes, engine processes and a registry store of one site. */
export class OutcomeInstallation {
  readonly key = key;
  readonly routers: RouterProcess[] = [];
  readonly engines: EngineProcess[] = [];
  readonly logLines: RouterLine[] = [];
  private readonly store = RegistryStore.create();
  private readonly builds = new Map<string, string>();

  private readonly killAll = (): void => {
    [...this.routers, ...this.engines].forEach((each) => {
      each.signal("SIGKILL");
    });
  };

  private constructor() {
    process.once("exit", this.killAll);
  }

  /**
   * Starts the store, the engines and the routers, and resolves when every router listens.
   * @param options - Options of the experiment.
   * @param fault - Fault of the engines.
   * @param listener - Receives what the engines do.
   */
  static async start(
    options: OutcomeOptions,
    fault: FaultName,
    listener: EngineListener,
  ): Promise<OutcomeInstallation> {
    const installation = new OutcomeInstallation();
    await installation.store.listen();
    const { routes } = sites[options.site];
    installation.store.publishConfiguration({ keys: [key], routes });
    await installation.startEngines(options, fault, listener);
    await installation.startRouters(options);
    return installation;
  }

  /** Gets the place of a router's bundle among those of the run, from 1 on. */
  getBuild(router: string): string {
    return this.builds.get(router) ?? "";
  }

  /** Kills every process and closes the store. */
  async stop(): Promise<void> {
    process.off("exit", this.killAll);
    await Promise.all(this.routers.map((router) => router.stop("SIGKILL")));
    await Promise.all(this.engines.map((engine) => engine.kill()));
    await this.store.close();
  }

  /**
   * Kills an engine and starts it under its address with new ids.
   * @param engine - The engine.
   * @param milliseconds - Time between its end and its start.
   */
  async restartEngine(engine: EngineProcess, milliseconds = 0): Promise<void> {
    const { ids } = engine;
    await engine.kill();
    await delay(milliseconds);
    await engine.start();
    this.publish(engine);
    setTimeout(() => {
      ids.forEach((id) => {
        this.store.removeUpstream(id);
      });
    }, staleEntryMilliseconds);
  }

  private publish({ ids, address }: EngineProcess): void {
    ids.forEach((id) => {
      this.store.publishAddress(id, address);
    });
  }

  private async startEngines(
    options: OutcomeOptions,
    fault: FaultName,
    listener: EngineListener,
  ): Promise<void> {
    const { site, seed, share, engines, entries } = options;
    const workByRoute = Object.fromEntries(
      sites[site].routes.map(({ name, kind, workMilliseconds }) => {
        const isStream = kind === "stream" || kind === "once";
        return [name, { milliseconds: workMilliseconds, isStream }];
      }),
    );
    const behaviour = { seed, share, weights: getWeights(fault, options), workByRoute };
    for (let index = 1; index <= engines; index += 1) {
      this.engines.push(EngineProcess.create(`e-${String(index)}`, behaviour, entries, listener));
    }
    await Promise.all(this.engines.map((engine) => engine.start()));
    this.engines.forEach((engine) => {
      this.publish(engine);
    });
  }

  private async startRouters({ site, router, unreached }: OutcomeOptions): Promise<void> {
    const ports = await pickFreePorts(Random.create(process.pid));
    for (let index = 1; index <= sites[site].routers; index += 1) {
      const name = `r-${String(index)}`;
      const host = `127.0.0.${String(index)}`;
      const build = (index - 1) % router.length;
      this.builds.set(name, String(build + 1));
      const onLine = (text: string) => this.logLines.push({ router: name, text });
      const options = index <= unreached ? unreachedOptions : nodeOptions;
      const program = { file: router[build] ?? router[0], nodeOptions: options, onLine };
      this.routers.push(RouterProcess.create(name, host, ports, this.store.address, program));
    }
    await Promise.all(this.routers.map((each) => each.start()));
  }
}

/** Answers of the engines to which a fault of processes matters. */
const processAnswers: Readonly<Partial<Record<FaultName, FaultName>>> = {
  /** A paused router matters to requests whose answers come near the deadline. */
  paused: "slow",
  crash: "framing",
};

/** Gets the weights of the faults of the engines' answers in a run. */
function getWeights(fault: FaultName, { weights }: OutcomeOptions): FaultWeights {
  if (fault === "mixture") {
    return weights ?? Object.fromEntries(answerFaultNames.map((name) => [name, 1]));
  }
  const answerFault = answerFaultNames.find((name) => name === (processAnswers[fault] ?? fault));
  return answerFault === undefined ? {} : { [answerFault]: 1 };
}
