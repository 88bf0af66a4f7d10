import type { PlacementEngine } from "@pistachioway/kernel";
import type { ConfigurationTask } from "../configuration/index.js";
import type { AdmissionTask, HostDirectory, PlacementTask } from "../kernel/index.js";
import type { ConfigurationIndex } from "../state/index.js";
import type { Connections } from "../upstreams/index.js";

/** What the updater reads and tells. */
export interface ViewUpdaterDependencies {
  readonly daemon: string;
  readonly zone: string;
  readonly configuration: ConfigurationTask;
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly connections: Connections;
  /** Tells whether a daemon said that it is stopping. */
  readonly isDraining: (daemon: string) => boolean;
}

/** Part of the engines' slots that one daemon may use, over its equal part. */
const capacityFactor = 2;

/** Tells the plug-ins that depend on hosts and configuration of a change of either. */
export class ViewUpdater {
  private servedModels: ReadonlySet<string> = new Set();

  private constructor(private readonly dependencies: ViewUpdaterDependencies) {}

  /**
   * Creates the updater.
   * @param dependencies - What it reads and tells.
   */
  static create(dependencies: ViewUpdaterDependencies): ViewUpdater {
    return new ViewUpdater(dependencies);
  }

  /**
   * Tells whether any engine of a model is known to take requests.
   * @param model - Name of the model.
   */
  isServed(model: string): boolean {
    return this.servedModels.has(model);
  }

  /** Gives the plug-ins the hosts and daemons as they are seen now. */
  update(): void {
    const inForce = this.dependencies.configuration.getInForce();
    if (inForce === undefined) {
      return;
    }
    const { index } = inForce;
    const usable = this.getUsableEngines(index);
    const engines = index.configuration.engines.map((engine) => ({
      ...engine,
      region: index.getRegion(engine.zone),
      eligible: usable.has(engine.name),
    }));
    const served = engines.filter((engine) => engine.eligible).flatMap((engine) => engine.models);
    this.servedModels = new Set(served);
    const { bound } = index.configuration.load;
    const daemons = this.getDaemons();
    this.dependencies.placement.send({ kind: "view", daemons, engines, bound });
    this.updateCapacity(
      engines,
      daemons.map((daemon) => daemon.name),
    );
    this.retainConnections();
  }

  /** Gets the engines that may get new requests, chosen among the engines of each model. */
  private getUsableEngines(index: ConfigurationIndex): ReadonlySet<string> {
    const usable = index.configuration.models.flatMap(({ name }) =>
      this.dependencies.hosts.getUsableNow(index.getEngines(name)),
    );
    return new Set(usable.map((host) => host.name));
  }

  /**
   * Gets this daemon and those that were heard lately and are not stopping. A daemon that falls
   * silent must not go on as the owner of engines: nobody would get room there meanwhile.
   */
  getDaemons(): { name: string; zone: string }[] {
    const { daemon: name, zone } = this.dependencies;
    const others = [...this.dependencies.hosts.getView().daemons.values()].filter(
      (daemon) =>
        daemon.name !== name &&
        daemon.state === "live" &&
        !daemon.isLeaving &&
        !this.dependencies.isDraining(daemon.name),
    );
    return [{ name, zone }, ...others.map((daemon) => ({ name: daemon.name, zone: daemon.zone }))];
  }

  private updateCapacity(engines: readonly PlacementEngine[], daemons: readonly string[]): void {
    const slots = engines.reduce((sum, item) => sum + (item.eligible ? item.slots : 0), 0);
    const capacity = Math.ceil((slots * capacityFactor) / daemons.length);
    this.dependencies.admission.send({
      kind: "capacity",
      capacity,
      daemon: this.dependencies.daemon,
      daemons,
    });
  }

  private retainConnections(): void {
    const hosts = [...this.dependencies.hosts.getView().hosts.values()];
    const addresses = hosts.flatMap(({ address }) => address ?? []);
    this.dependencies.connections.retain(new Set(addresses));
  }
}
