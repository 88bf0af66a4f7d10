import {
  PrefixDirectory,
  ContentQuarantine,
  getReleaseDelay,
  MemoryBudget,
  RouteTable,
  type HeaderCodec,
  type Registry,
} from "@pistachioway/kernel";
import { ConnectionPool, ReachabilityTask } from "../exchange/index.js";
import type { FleetTask, PeerStateTask } from "../fleet/index.js";
import {
  IngressServer,
  TickListeners,
  type ActiveRequestDependencies,
  type AdmissionQueues,
} from "../ingress/index.js";
import type { ListenerStart } from "../listening/index.js";
import type { Fields, LogLevel } from "../log/line.js";
import type { StreamLog } from "../log/StreamLog.js";
import { RouterMetrics } from "../metrics/RouterMetrics.js";
import type { RegistryTask } from "../registry/index.js";
import type { StreamDirectory } from "../streams/index.js";
import { createAdmissionQueues } from "./createAdmissionQueues.js";
import { createFleetTask, toDatagramAddress } from "./createFleetTask.js";
import { createForwarding, type Forwarding } from "./createForwarding.js";
import { createListenerStart } from "./createListenerStart.js";
import { createPeerStateTask } from "./createPeerStateTask.js";
import { createPeriodicTasks, tickMilliseconds } from "./createPeriodicTasks.js";
import { createRegistryTask } from "./createRegistryTask.js";
import { createRequestDependencies } from "./createRequestDependencies.js";
import { createStreamDirectory } from "./createStreamDirectory.js";
import { getFreshnessBounds } from "./getFreshnessBounds.js";
import { NoticeLog } from "./NoticeLog.js";
import { OperationsServers } from "./OperationsServers.js";
import type { PeriodicTasks } from "./PeriodicTasks.js";
import { PlannedStop } from "./PlannedStop.js";
import { RouterPages } from "./RouterPages.js";
import type { RouterSettings } from "./settings.js";
import { readClocks, readMonotonicClock } from "./clocks.js";
import type { TaskError } from "../lifecycle/TaskError.js";
import { TaskWatch } from "../lifecycle/TaskWatch.js";
import { TickLag } from "./TickLag.js";
import { UpstreamStarts } from "./UpstreamStarts.js";

/** Memory for bodies of callers and upstreams, beside the heap of the smallest host's process. */
const maxKeptBytes = 67_108_864;

/** Dependencies of a router. */
export interface RouterDependencies {
  readonly settings: RouterSettings;
  readonly registry: Registry;
  readonly codec: HeaderCodec;
  readonly log: StreamLog;
  /** Called once, when a task of the router does not go on. */
  readonly onTaskFailed: (error: TaskError) => void;
}

/** A daemon that routes requests to upstreams by the configuration that a registry publishes. */
export class Router {
  private readonly metrics = RouterMetrics.create();
  private readonly memory = MemoryBudget.create(maxKeptBytes);
  private readonly pool = ConnectionPool.create({
    onIdleEnded: (address) => {
      this.starts.handleIdleEnded(address);
    },
  });
  private readonly prefixes = PrefixDirectory.create();
  private readonly quarantine = ContentQuarantine.create({
    addFleetNotice: (notice) => {
      this.fleet.addNotice(notice);
    },
    getReleaseDelay: () => getReleaseDelay(this.fleet.view.getPeakDaemonCount(), Math.random()),
    onChange: (change) => {
      this.notices.recordQuarantine(change, readMonotonicClock());
    },
  });
  private readonly tasks: TaskWatch;
  private readonly notices: NoticeLog;
  private readonly registryTask: RegistryTask;
  private readonly reachability: ReachabilityTask;
  private readonly fleet: FleetTask;
  private readonly peerStates: PeerStateTask;
  private readonly streams: StreamDirectory;
  private readonly admission: AdmissionQueues;
  /** Dependencies of requests that go no further than to upstreams. */
  private readonly requestDependencies: ActiveRequestDependencies;
  private readonly forwarding: Forwarding;
  private readonly ingress: IngressServer;
  private readonly servers: OperationsServers;
  private readonly listenerStart: ListenerStart;
  private readonly incarnation = Date.now();
  private readonly startedAt = readMonotonicClock();
  private readonly ticks = TickListeners.create((error) => {
    const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
    this.record("error", "request.check-failed", { detail });
  });
  private readonly tickLag = TickLag.create(tickMilliseconds, this.startedAt);
  private readonly starts: UpstreamStarts;
  private readonly periodicTasks: PeriodicTasks;
  private plannedStop: PlannedStop | undefined;
  private isClosed = false;

  private readonly record = (level: LogLevel, event: string, fields: Fields): void => {
    this.dependencies.log.write(level, event, fields);
  };

  private constructor(private readonly dependencies: RouterDependencies) {
    this.notices = NoticeLog.create(this.metrics, this.record);
    const { record } = this;
    this.tasks = TaskWatch.create({
      onFailed: dependencies.onTaskFailed,
      onFailedTurn: (task) => {
        this.metrics.failedTurns.inc({ task });
      },
      record,
    });
    this.registryTask = createRegistryTask({
      settings: dependencies.settings,
      registry: dependencies.registry,
      metrics: this.metrics,
      getView: () => this.fleet.view,
      getClocks: readClocks,
      record,
      onTable: (table) => {
        this.applyTable(table);
      },
      onUpstream: (upstream) => {
        this.streams.recordUpstream(upstream);
      },
    });
    const { registryTask: registry, pool } = this;
    const { upstreams } = registry;
    const getNow = readMonotonicClock;
    this.reachability = ReachabilityTask.create({ upstreams, pool, getNow, record });
    this.fleet = this.createFleetTask();
    const { view } = this.fleet;
    this.peerStates = createPeerStateTask({ view, registry, getClocks: readClocks, record });
    this.streams = createStreamDirectory({
      address: dependencies.settings.listeners.datagrams,
      isFirstStart: dependencies.settings.process.isFirstStart,
      fleet: this.fleet,
      isAtRisk: () => registry.isUnreachable() || this.plannedStop !== undefined,
      getNow,
    });
    this.admission = createAdmissionQueues({
      upstreams,
      workEstimator: this.reachability.workEstimator,
      metrics: this.metrics,
      view,
      getNow,
      getRandom: Math.random,
      onFailed: (error) => {
        const detail = error instanceof Error ? (error.stack ?? error.message) : String(error);
        record("error", "request.send-failed", { detail });
      },
    });
    this.starts = UpstreamStarts.create({
      registry,
      view,
      settings: dependencies.settings,
      startedAt: this.startedAt,
      metrics: this.metrics,
      getClocks: readClocks,
      record,
    });
    this.periodicTasks = this.createPeriodicTasks();
    this.requestDependencies = this.createRequestDependencies();
    this.forwarding = this.createForwarding();
    this.ingress = this.createIngress();
    this.servers = OperationsServers.create(this.createPages(), ({ message }) => {
      this.record("error", "operations.failed", { detail: message });
    });
    this.listenerStart = this.createListenerStart();
  }

  /**
   * Creates a router that does not listen yet.
   * @param dependencies - Dependencies of the router.
   */
  static create(dependencies: RouterDependencies): Router {
    return new Router(dependencies);
  }

  /**
   * Starts to listen and to watch the registry. Resolves when the start is complete, or when the router is stopped.
   * @throws ListenerError when a needed listener cannot listen in time.
   */
  async start(): Promise<void> {
    const { process: self } = this.dependencies.settings;
    this.record("info", "daemon.starting", { zone: self.zone, incarnation: this.incarnation });
    const { registryTask, tasks } = this;
    void tasks.runLoop(
      "registry",
      () => registryTask.run(),
      () => registryTask.getTurnCount(),
    );
    this.periodicTasks.start();
    await this.listenerStart.run();
    if (this.listenerStart.isComplete()) {
      this.record("info", "daemon.listening", {
        ...this.listenerStart.getAddresses(),
        attempts: this.listenerStart.getAttemptCount(),
        milliseconds: Math.round(readMonotonicClock() - this.startedAt),
      });
    }
  }

  /**
   * Stops gracefully: reports not ready, serves requests that still arrive, finishes those in flight,
   * and ends what still runs shortly before the grace period is over.
   * @returns True when no request was ended before its time.
   */
  async stop(): Promise<boolean> {
    this.plannedStop = PlannedStop.create({
      servers: [this.ingress.requests, this.forwarding.server.requests],
      signalledAt: this.tickLag.getEarliest(readMonotonicClock()),
      graceMilliseconds: this.dependencies.settings.limits.graceMilliseconds,
      mayHaveBeenReady: this.listenerStart.isComplete(),
      getNow: readMonotonicClock,
      record: this.record,
    });
    this.record("info", "daemon.stopping", { running: this.ingress.requests.getRunningCount() });
    await this.listenerStart.stop();
    const isIdle = await this.plannedStop.run();
    this.close();
    this.record("info", "daemon.stopped", { idle: isIdle });
    await this.dependencies.log.close();
    return isIdle;
  }

  /** Ends a planned stop at once: responds to every request in flight. */
  endRequests(): void {
    this.plannedStop?.endRequests();
  }

  /** Applies changed settings: only the log level and the seeds take effect without a restart. */
  reload(settings: RouterSettings): void {
    this.dependencies.log.setLevel(settings.log.level);
    settings.peers.seeds.forEach((seed) => {
      this.fleet.view.addAddress(toDatagramAddress(this.dependencies.settings, seed));
    });
    this.record("info", "daemon.reloaded", { seeds: settings.peers.seeds.length });
  }

  /** Closes every listener and connection at once; further calls do nothing. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.tasks.stop();
    this.periodicTasks.stop();
    void this.listenerStart.stop();
    this.ingress.requests.close();
    this.forwarding.server.requests.close();
    this.registryTask.stop();
    this.fleet.stop();
    this.servers.close();
    this.pool.close();
    this.forwarding.pool.close();
  }

  private createFleetTask(): FleetTask {
    const { record } = this;
    return createFleetTask(this.dependencies.settings, {
      incarnation: this.incarnation,
      registry: this.registryTask,
      reachability: this.reachability,
      prefixes: this.prefixes,
      quarantine: this.quarantine,
      notices: this.notices,
      getStartShare: (service) => this.starts.getShare(service),
      metrics: this.metrics,
      onStreamMessage: (message, sender) => {
        this.streams.receive(message, sender);
      },
      getNow: readMonotonicClock,
      runTurn: (task, turn) => {
        this.tasks.run(task, turn);
      },
      record,
    });
  }

  private createPeriodicTasks(): PeriodicTasks {
    return createPeriodicTasks({
      starts: this.starts,
      reachability: this.reachability,
      admission: this.admission,
      requestTicks: this.ticks,
      registry: this.registryTask,
      view: this.fleet.view,
      streams: this.streams,
      peerStates: this.peerStates,
      memory: this.memory,
      pacer: this.pool.pacer,
      lag: this.tickLag,
      watch: this.tasks,
      record: this.record,
    });
  }

  private createRequestDependencies(): ActiveRequestDependencies {
    const { settings, codec } = this.dependencies;
    const { registryTask: registry, fleet, reachability, admission, starts, streams, pool } = this;
    const { prefixes, quarantine, memory, ticks, metrics, notices, startedAt, record } = this;
    const { tickLag: lag } = this;
    const tasks = { registry, fleet, reachability, admission, starts, streams, pool, lag };
    const state = { prefixes, quarantine, memory, ticks, metrics, notices, startedAt, record };
    return createRequestDependencies({ settings, codec, ...tasks, ...state });
  }

  private createPages(): RouterPages {
    return RouterPages.create({
      settings: this.dependencies.settings,
      incarnation: this.incarnation,
      registry: this.registryTask,
      fleet: this.fleet,
      ingress: this.ingress,
      reachability: this.reachability,
      forwarding: this.forwarding,
      pool: this.pool,
      memory: this.memory,
      metrics: this.metrics,
      getNow: readMonotonicClock,
      isStarted: () => this.listenerStart.isComplete(),
      isStopping: () => this.plannedStop !== undefined,
    });
  }

  private createListenerStart(): ListenerStart {
    return createListenerStart(this.dependencies.settings, {
      servers: this.servers,
      fleet: this.fleet,
      forwarding: this.forwarding.server.requests,
      callers: this.ingress.requests,
      metrics: this.metrics,
      startedAt: this.startedAt,
      getNow: readMonotonicClock,
      record: this.record,
    });
  }

  private createForwarding(): Forwarding {
    return createForwarding(this.dependencies.settings, {
      view: this.fleet.view,
      requestDependencies: this.requestDependencies,
      getTable: () => this.registryTask.getTable(),
      isDraining: () => this.plannedStop !== undefined,
      isBusy: () => this.tickLag.isBusy(readMonotonicClock()),
    });
  }

  private createIngress(): IngressServer {
    return IngressServer.create({
      requestDependencies: {
        ...this.requestDependencies,
        forwarder: this.forwarding.forwarder,
      },
      bounds: getFreshnessBounds(this.dependencies.settings),
      getTable: () => this.registryTask.getTable(),
      isDraining: () => this.plannedStop !== undefined,
      isServed: (deadline) => this.plannedStop?.isServed(deadline) ?? true,
      getRandom: Math.random,
    });
  }

  private applyTable(table: RouteTable): void {
    this.ingress.setLimits(table.limits);
    this.metrics.configurationVersion.set(table.version);
    const { routes, services, teams } = table.getRouting();
    if (this.dependencies.settings.work.isEnabled) {
      const { workEstimator } = this.reachability;
      services
        .filter(({ engine }) => engine !== undefined)
        .forEach(({ name }) => {
          workEstimator.enable(name);
        });
    }
    this.record("info", "configuration.in-force", {
      version: table.version,
      routes: routes.length,
      services: services.length,
      teams: teams?.length ?? 0,
    });
  }
}
