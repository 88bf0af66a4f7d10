import {
  getReleaseDelay,
  type AdmissionGuard,
  type ChangedEffect,
  type HostList,
  type RetryGuard,
} from "@pistachioway/kernel";
import { ActSender, ActTask } from "../acts/index.js";
import { ConfigurationTask, type ActiveConfiguration } from "../configuration/index.js";
import {
  AdmissionTask,
  HostDirectory,
  HostSender,
  PlacementTask,
  RetryTask,
} from "../kernel/index.js";
import type { TaskError } from "../lifecycle/TaskError.js";
import { toHex } from "../log/toHex.js";
import { OperationsView, type DaemonPhase } from "../operations/index.js";
import { OrderTask } from "../orders/index.js";
import { PlatformTask } from "../platform/index.js";
import { CallerQuarantine } from "../quarantine/index.js";
import { ServiceClient } from "../services/index.js";
import type { Settings } from "../settings/index.js";
import { CallerTasks, type CallerTasksDependencies } from "./CallerTasks.js";
import { createTicker, type TickTargets } from "./createTicker.js";
import { createContext, type Context } from "./Context.js";
import { PeerTasks, type PeerTargets } from "./PeerTasks.js";
import { probeHost } from "./probeHost.js";
import { startPlugins } from "./startPlugins.js";
import type { Tasks } from "./Tasks.js";
import { ViewUpdater } from "./ViewUpdater.js";

const version = "0.1.0";

/**
 * Creates the tasks of a daemon in the order of their dependencies. A task that depends on one
 * created later gets it through the graph when it needs it.
 */
export class TaskGraph implements PeerTargets, TickTargets {
  readonly peers: PeerTasks;
  readonly quarantine: CallerQuarantine;
  readonly viewUpdater: ViewUpdater;
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly retries: RetryTask;
  readonly orders: OrderTask;
  readonly configuration: ConfigurationTask;
  private readonly platform: PlatformTask;
  readonly acts: ActTask;
  private readonly callers: CallerTasks;
  private hostList: HostList | undefined;

  private constructor(private readonly context: Context) {
    this.peers = this.createPeers();
    this.quarantine = this.createQuarantine();
    this.hosts = this.createHosts();
    this.placement = this.createPlacement();
    this.admission = this.createAdmission();
    this.retries = RetryTask.create(
      context.kernel,
      context.getNow,
      context.disabledGuards as RetryGuard[],
    );
    this.configuration = this.createConfiguration();
    this.orders = this.createOrders();
    this.platform = this.createPlatform();
    const sender = HostSender.create(context.connections, this.hosts, context.getNow);
    const client = ServiceClient.create(sender, this.hosts, this.quarantine, context.getNow);
    this.acts = this.createActs(client);
    this.viewUpdater = this.createViewUpdater();
    this.callers = CallerTasks.create(context, this.getCallerDependencies(client, sender));
    startPlugins(context, this);
  }

  /**
   * Creates the tasks of a daemon and connects them.
   * @param settings - Validated settings.
   * @param getPhase - Gets the phase of the daemon's lifecycle.
   * @param onTaskFailed - Called once, when a task does not go on.
   */
  static create(
    settings: Settings,
    getPhase: () => DaemonPhase,
    onTaskFailed: (error: TaskError) => void,
  ): TaskGraph {
    return new TaskGraph(createContext(settings, getPhase, onTaskFailed));
  }

  /** Gets the tasks that the daemon runs. */
  toTasks(): Tasks {
    const { recorder, connections, watch, getNow } = this.context;
    const { platform, configuration, acts } = this;
    const { links, gossip } = this.peers;
    const { chats, services, requestPipeline } = this.callers;
    return {
      recorder,
      connections,
      links,
      gossip,
      platform,
      configuration,
      chats,
      services,
      acts,
      requestPipeline,
      view: this.createView(),
      ticker: createTicker(this, watch, getNow),
      watch,
    };
  }

  private getCallerDependencies(
    client: ServiceClient,
    sender: HostSender,
  ): CallerTasksDependencies {
    const { hosts, placement, admission, retries, configuration, acts, viewUpdater } = this;
    return {
      hosts,
      placement,
      admission,
      retries,
      configuration,
      acts,
      viewUpdater,
      client,
      sender,
      quarantine: this.quarantine,
    };
  }

  private createQuarantine(): CallerQuarantine {
    return CallerQuarantine.create({
      getNow: this.context.getNow,
      getReleaseDelay: () =>
        getReleaseDelay(this.peers.gossip.getActPeers().length + 1, Math.random()),
      onNotice: () => {
        this.peers.gossip.sendContentNotices();
      },
      onChange: ({ kind, content, source, quarantine }) => {
        const { endsAt, count } = quarantine;
        const fields = { content: toHex(content), source, endsAt, count };
        this.context.recorder.record(`content.quarantine-${kind}`, fields, "warn");
      },
    });
  }

  private createHosts(): HostDirectory {
    return HostDirectory.create({
      kernel: this.context.kernel,
      getNow: this.context.getNow,
      onChanged: (effect) => {
        this.handleHostChanges(effect);
      },
      onHealthReports: (reports) => {
        this.peers.gossip.sendHealthReports(reports);
      },
      onProbe: (probe) => {
        void probeHost(probe, this.context.getNow).then((result) => {
          this.hosts.send({ kind: "probed", ...result });
        });
      },
      onAttempt: (kind, result) => {
        this.context.metrics.attempts.inc({ kind, result });
      },
      onRefresh: () => {
        this.context.recorder.record("membership.refresh", {}, "warn");
        this.platform.refresh();
        this.peers.refresh();
      },
    });
  }

  private createPeers(): PeerTasks {
    return PeerTasks.create({
      context: this.context,
      getHostList: (after) => {
        const list = this.hostList;
        return list !== undefined && list.revision > after ? list : null;
      },
      receiveHostList: (list) => {
        this.receiveHostList(list);
      },
      onDaemonChanged: () => {
        this.viewUpdater.update();
      },
      getTargets: () => this,
    });
  }

  private createViewUpdater(): ViewUpdater {
    const { configuration, hosts, placement, admission } = this;
    const { connections } = this.context;
    const { name: daemon, zone } = this.context.settings.process;
    const isDraining = (name: string): boolean => this.peers.gossip.isDraining(name);
    return ViewUpdater.create({
      daemon,
      zone,
      configuration,
      hosts,
      placement,
      admission,
      connections,
      isDraining,
    });
  }

  private receiveHostList(list: HostList): void {
    const isFirst = this.hostList === undefined;
    if (list.revision > (this.hostList?.revision ?? -1)) {
      this.hostList = list;
    }
    const { revision, hosts } = list;
    this.hosts.send({ kind: "hostList", revision, hosts, at: this.context.getNow() });
    if (isFirst) {
      this.peers.gossip.updateNeighbours();
      this.configuration.send({ kind: "peers", names: this.peers.gossip.getNeighbourNames() });
      this.peers.bootstrap();
    }
  }

  private createPlacement(): PlacementTask {
    return PlacementTask.create({
      kernel: this.context.kernel,
      getNow: this.context.getNow,
      send: (to, message) => {
        this.peers.gossip.sendPlacement(to, message);
      },
      onPlaced: ({ reason }) => {
        this.context.metrics.placements.inc({ reason });
      },
    });
  }

  private createAdmission(): AdmissionTask {
    return AdmissionTask.create({
      kernel: this.context.kernel,
      getNow: this.context.getNow,
      onTotals: (totals) => {
        this.peers.gossip.setTeamTotals(totals);
      },
    });
  }

  private createConfiguration(): ConfigurationTask {
    const { kernel, getNow, recorder, metrics } = this.context;
    return ConfigurationTask.create({
      kernel,
      getNow,
      recorder,
      metrics,
      onInForce: (inForce) => {
        this.applyConfiguration(inForce);
      },
      read: (after, waitUntil) => this.platform.readConfiguration(after, waitUntil),
      fetch: (from, revision) => this.peers.links.getConfiguration(from, revision),
      announce: () => {
        this.peers.gossip.sendHeartbeats();
      },
    });
  }

  private createOrders(): OrderTask {
    const { kernel, getNow, recorder } = this.context;
    return OrderTask.create({
      kernel,
      getNow,
      hosts: this.hosts,
      recorder,
      confirm: () => {
        void this.configuration.readNow().then(() => {
          this.updateOrders();
        });
      },
    });
  }

  /**
   * Sends the configuration in force and the other live daemons to the orders plug-in. This daemon is
   * the first of `getDaemons`.
   */
  private updateOrders(): void {
    const inForce = this.configuration.getConfigurationInForce();
    if (inForce !== undefined) {
      const [, ...daemons] = this.viewUpdater.getDaemons();
      this.orders.send({ kind: "peers", daemons });
      this.orders.send({ kind: "inForce", ...inForce });
    }
  }

  private createPlatform(): PlatformTask {
    const { settings, getNow, metrics, recorder } = this.context;
    return PlatformTask.create({
      address: settings.platform.address,
      getNow,
      metrics,
      recorder,
      onHostList: (list) => {
        this.receiveHostList(list);
      },
    });
  }

  private createActs(client: ServiceClient): ActTask {
    return ActTask.create({
      kernel: this.context.kernel,
      getNow: this.context.getNow,
      admission: this.admission,
      sender: ActSender.create(client, this.retries, this.quarantine, (name) =>
        this.configuration.getInForce()?.index.getService(name),
      ),
      transport: this.peers.links,
      recorder: this.context.recorder,
      getPeers: () => this.peers.gossip.getActPeers(),
    });
  }

  private createView(): OperationsView {
    const { settings, incarnation, startedAt, kernel } = this.context;
    const { configuration, platform } = this;
    return OperationsView.create({
      process: settings.process.name,
      incarnation,
      zone: settings.process.zone,
      version,
      startedAt,
      disabledGuards: settings.experiments.disabledGuards,
      kernel,
      configuration,
      platform,
      hosts: this.hosts,
      placement: this.placement,
      admission: this.admission,
      metrics: this.context.metrics,
      timeline: this.context.timeline,
      getPhase: this.context.getPhase,
      updateMetrics: () => {
        this.updateMetrics();
      },
      getCounters: () => ({ ...this.peers.links.getCounters() }),
    });
  }

  private updateMetrics(): void {
    this.peers.links.updateMetrics();
    this.context.metrics.upstreams.reset();
    for (const { state } of this.hosts.getView().hosts.values()) {
      this.context.metrics.upstreams.inc({ state });
    }
  }

  private applyConfiguration({ index }: ActiveConfiguration): void {
    const { engines, services, teams, retries } = index.configuration;
    this.retries.configure(retries.budgetRatio);
    const disabledGuards = this.context.disabledGuards as AdmissionGuard[];
    this.admission.send({ kind: "configure", teams, disabledGuards });
    this.hosts.send({ kind: "configured", engines, services });
    this.updateOrders();
    this.viewUpdater.update();
  }

  private handleHostChanges(effect: ChangedEffect): void {
    for (const { name, state, reason } of effect.hosts) {
      this.context.recorder.record("host.changed", { host: name, state, reason }, "info");
    }
    this.peers.gossip.updateNeighbours();
    for (const { name, state } of effect.daemons) {
      this.context.recorder.record("daemon.changed", { daemon: name, state }, "info");
      if (state === "lost") {
        this.placement.send({ kind: "peerLost", daemon: name });
      }
    }
    this.viewUpdater.update();
    if (effect.daemons.length > 0) {
      this.updateOrders();
    }
  }
}
