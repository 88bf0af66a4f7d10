import type { PlacementEngine } from "@pistachioway/kernel";
import type { ConfigurationTask } from "../configuration/index.js";
import type { AdmissionTask, HostDirectory, PlacementTask } from "../kernel/index.js";
import type { ConfigurationIndex } from "../state/index.js";
import type { Connections } from "../upstreams/index.js";

/** What the updater depends on. */
export interface ViewUpdaterDependencies {
  readonly daemon: string;
  readonly zone: string;
  readonly configuration: ConfigurationTask;
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly connections: Connections;
  /** Checks whether a daemon has announced that it is draining. */
  readonly isDraining: (daemon: string) => boolean;
}

/** Ratio of the slots that one daemon may use to an equal share of the engines' slots. */
const capacityFactor = 2;

/** Sends the hosts and the configuration to the plug-ins that depend on them, on each change. */
export class ViewUpdater {
  private servedModels: ReadonlySet<string> = new Set();

  private constructor(private readonly dependencies: ViewUpdaterDependencies) {}

  /**
   * Creates the updater.
   * @param dependencies - What it reads, and the tasks that it updates.
   */
  static create(dependencies: ViewUpdaterDependencies): ViewUpdater {
    return new ViewUpdater(dependencies);
  }

  /**
   * Checks whether any engine of a model is known to accept requests.
   * @param model - Name of the model.
   */
  isServed(model: string): boolean {
    return this.servedModels.has(model);
  }

  /** Sends the hosts and daemons, as known to this daemon now, to the plug-ins. */
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

  /** Gets the engines that may receive new requests, selected per model. */
  private getUsableEngines(index: ConfigurationIndex): ReadonlySet<string> {
    const usable = index.configuration.models.flatMap(({ name }) =>
      this.dependencies.hosts.getUsableNow(index.getEngines(name)),
    );
    return new Set(usable.map((host) => host.name));
  }

  /**
   * Gets this daemon, then the other live daemons that are not stopping. An unresponsive daemon must
   * not remain the owner of engines: meanwhile no request would get a reservation there.
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
