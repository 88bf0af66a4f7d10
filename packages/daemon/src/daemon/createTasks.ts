import {
  Kernel,
  tickPeriodMilliseconds,
  type ActGuard,
  type ActPeer,
  type ChangedEffect,
  type Instant,
  type PlacementEngine,
} from "@pistachioway/kernel";
import { randomBytes, randomInt, randomUUID } from "node:crypto";
import { setTimeout as delay } from "node:timers/promises";
import { ActSender, ActTask } from "../acts/index.js";
import { CallerGate } from "../callers/index.js";
import { ChatTask, EngineClient, type Usage } from "../chat/index.js";
import { ConfigurationTask, type InForce } from "../configuration/index.js";
import { AdmissionTask, HostDirectory, PlacementTask, RetryTask } from "../kernel/index.js";
import { Log } from "../log/index.js";
import { Metrics } from "../metrics/index.js";
import { OperationsView, type DaemonPhase } from "../operations/index.js";
import { PlatformTask } from "../platform/index.js";
import { ServiceClient, ServiceTask } from "../services/index.js";
import type { Settings } from "../settings/index.js";
import type { ConfigurationIndex } from "../state/index.js";
import { Recorder, Timeline } from "../timeline/index.js";
import { Connections } from "../upstreams/index.js";
import { probeHost } from "./Probes.js";

/** The tasks of one daemon. */
export interface Tasks {
  readonly recorder: Recorder;
  readonly connections: Connections;
  readonly platform: PlatformTask;
  readonly configuration: ConfigurationTask;
  readonly gate: CallerGate;
  readonly chats: ChatTask;
  readonly services: ServiceTask;
  readonly acts: ActTask;
  readonly view: OperationsView;
  /** Lets time pass in every plug-in. */
  readonly tick: () => void;
}

const version = "0.1.0";
const secretBytes = 32;
/** Part of the engines' slots that one daemon may use, over its equal part. */
const capacityFactor = 2;
const maxSeed = 2 ** 31;
const configurationRetryMilliseconds = 1_000;

/**
 * Creates the tasks of a daemon and connects them.
 * @param settings - Checked settings.
 * @param getPhase - Gets the phase of the daemon's life.
 */
export function createTasks(settings: Settings, getPhase: () => DaemonPhase): Tasks {
  return TaskGraph.create(settings, getPhase).toTasks();
}

/** Builds the tasks in the order of their needs; later tasks are reached through the graph. */
class TaskGraph {
  private readonly incarnation = randomUUID().slice(0, 8);
  private readonly startedAt = Date.now();
  private readonly getNow = (): Instant => Date.now();
  private readonly kernel = Kernel.create(randomInt(maxSeed));
  private readonly metrics = Metrics.create();
  private readonly connections = Connections.create();
  private readonly timeline = Timeline.create(this.getNow);
  private readonly recorder: Recorder;
  private readonly hosts: HostDirectory;
  private readonly placement: PlacementTask;
  private readonly admission: AdmissionTask;
  private readonly retries: RetryTask;
  private readonly configuration: ConfigurationTask;
  private readonly platform: PlatformTask;
  private readonly acts: ActTask;
  private readonly chats: ChatTask;
  private readonly services: ServiceTask;
  private attempts = 0;
  private servedModels: ReadonlySet<string> = new Set();
  private membershipTickAt: Instant = 0;

  private constructor(
    private readonly settings: Settings,
    private readonly getPhase: () => DaemonPhase,
  ) {
    const { name, zone } = settings.process;
    const log = Log.create(settings.log.level, { process: name });
    this.recorder = Recorder.create(this.timeline, log);
    this.hosts = this.createHosts();
    this.placement = this.createPlacement();
    this.admission = this.createAdmission();
    this.retries = RetryTask.create(this.kernel, this.getNow);
    this.configuration = this.createConfiguration();
    this.platform = this.createPlatform();
    const client = ServiceClient.create(this.connections, this.hosts, this.getNow);
    this.acts = this.createActs(client);
    this.chats = this.createChats();
    this.services = this.createServices(client);
    this.hosts.send({ kind: "identity", daemon: name, zone });
    this.placement.send({ kind: "start", daemon: name, zone, seed: randomInt(maxSeed) });
    this.startActs();
  }

  static create(settings: Settings, getPhase: () => DaemonPhase): TaskGraph {
    return new TaskGraph(settings, getPhase);
  }

  /** Gets the tasks that the daemon runs. */
  toTasks(): Tasks {
    const { recorder, connections, platform, configuration, chats, services, acts } = this;
    return {
      recorder,
      connections,
      platform,
      configuration,
      chats,
      services,
      acts,
      gate: this.createGate(),
      view: this.createView(),
      tick: () => {
        this.tick();
      },
    };
  }

  private tick(): void {
    const at = this.getNow();
    this.tickMembership(at);
    this.placement.send({ kind: "tick" });
    this.admission.send({ kind: "tick", at });
    this.acts.send({ kind: "tick" });
  }

  private tickMembership(at: Instant): void {
    if (at >= this.membershipTickAt) {
      this.membershipTickAt = at + tickPeriodMilliseconds;
      this.hosts.send({ kind: "tick", at });
    }
  }

  private startActs(): void {
    this.acts.send({
      kind: "start",
      daemon: this.settings.process.name,
      incarnation: this.incarnation,
      secret: randomBytes(secretBytes),
      disabledGuards: this.settings.experiments.disabledGuards as ActGuard[],
    });
  }

  private createHosts(): HostDirectory {
    return HostDirectory.create({
      kernel: this.kernel,
      getNow: this.getNow,
      onChanged: (effect) => {
        this.takeView(effect);
      },
      onSigns: () => undefined,
      onProbe: (probe) => {
        void probeHost(probe, this.getNow).then((result) => {
          this.hosts.send({ kind: "probed", ...result });
        });
      },
      onRefresh: () => {
        this.recorder.record("membership.refresh", {}, "warn");
        this.platform.refresh();
      },
    });
  }

  private createPlacement(): PlacementTask {
    return PlacementTask.create({
      kernel: this.kernel,
      getNow: this.getNow,
      send: () => undefined,
      onPlaced: ({ reason }) => {
        this.metrics.placements.inc({ reason });
      },
    });
  }

  private createAdmission(): AdmissionTask {
    return AdmissionTask.create({
      kernel: this.kernel,
      getNow: this.getNow,
      onTotals: () => undefined,
    });
  }

  private createConfiguration(): ConfigurationTask {
    return ConfigurationTask.create({
      getNow: this.getNow,
      recorder: this.recorder,
      onInForce: (inForce) => {
        this.takeConfiguration(inForce);
      },
    });
  }

  private createPlatform(): PlatformTask {
    return PlatformTask.create({
      address: this.settings.platform.address,
      getNow: this.getNow,
      metrics: this.metrics,
      recorder: this.recorder,
      onConfiguration: (published) => {
        this.configuration.publish(published, "platform");
      },
      onHosts: ({ revision, hosts }) => {
        this.hosts.send({ kind: "hostList", revision, hosts, at: this.getNow() });
      },
      onFailure: () => undefined,
    });
  }

  private createActs(client: ServiceClient): ActTask {
    return ActTask.create({
      kernel: this.kernel,
      getNow: this.getNow,
      admission: this.admission,
      sender: ActSender.create(client, this.retries, (name) =>
        this.configuration.getInForce()?.index.getService(name),
      ),
      carrier: {
        forward: () => Promise.resolve({ kind: "lost" }),
        transfer: () => Promise.resolve(false),
      },
      recorder: this.recorder,
      getPeers: () => this.getActPeers(),
    });
  }

  private createChats(): ChatTask {
    return ChatTask.create({
      admission: this.admission,
      placement: this.placement,
      retries: this.retries,
      hosts: this.hosts,
      isServed: (model) => this.servedModels.has(model),
      engines: EngineClient.create(this.connections, this.hosts, this.getNow),
      recorder: this.recorder,
      createAttemptId: () => this.createAttemptId(),
      onUsage: (usage) => {
        this.countUsage(usage);
      },
      wait: (until, signal) => this.wait(until, signal),
    });
  }

  private createServices(client: ServiceClient): ServiceTask {
    return ServiceTask.create({
      admission: this.admission,
      retries: this.retries,
      acts: this.acts,
      client,
      recorder: this.recorder,
      createAttemptId: () => this.createAttemptId(),
      wait: (until, signal) => this.wait(until, signal),
    });
  }

  private createGate(): CallerGate {
    return CallerGate.create({
      recorder: this.recorder,
      metrics: this.metrics,
      context: {
        getIndex: () => this.configuration.getInForce()?.index,
        getNow: this.getNow,
        requestMilliseconds: this.settings.limits.requestMilliseconds,
        getConfigurationRetryAt: () => this.getNow() + configurationRetryMilliseconds,
      },
    });
  }

  private createView(): OperationsView {
    const { settings, incarnation, startedAt, kernel, configuration, platform } = this;
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
      metrics: this.metrics,
      timeline: this.timeline,
      getPhase: this.getPhase,
    });
  }

  private takeConfiguration({ index, status }: InForce): void {
    const { engines, services, teams, retries } = index.configuration;
    this.metrics.configurationRevision.set(status.revision);
    this.retries.configure(retries.budgetRatio);
    this.admission.send({ kind: "configure", teams });
    this.hosts.send({ kind: "configured", engines, services });
    this.updateViews();
  }

  private takeView(effect: ChangedEffect): void {
    for (const { name, state, reason } of effect.hosts) {
      this.recorder.record("host.changed", { host: name, state, reason }, "info");
    }
    for (const { name, state } of effect.daemons) {
      this.recorder.record("daemon.changed", { daemon: name, state }, "info");
    }
    this.updateViews();
  }

  /** Tells the plug-ins that depend on hosts and configuration of a change of either. */
  private updateViews(): void {
    const inForce = this.configuration.getInForce();
    if (inForce === undefined) {
      return;
    }
    const { name, zone } = this.settings.process;
    const { hosts, daemons } = this.hosts.getView();
    const { configuration } = inForce.index;
    const live = [...daemons.values()].filter((item) => item.state === "live" && !item.isLeaving);
    const peers = live.filter((daemon) => daemon.name !== name);
    const usable = this.getUsableEngines(inForce.index);
    this.servedModels = new Set(
      configuration.engines.flatMap(({ name: engine, models }) =>
        usable.has(engine) ? models : [],
      ),
    );
    const engines = configuration.engines.map((engine) => ({
      ...engine,
      eligible: usable.has(engine.name),
    }));
    this.placement.send({
      kind: "view",
      daemons: [{ name, zone }, ...peers.map((peer) => ({ name: peer.name, zone: peer.zone }))],
      engines,
      bound: configuration.load.bound,
    });
    this.updateCapacity(engines, [name, ...peers.map((peer) => peer.name)]);
    const addresses = [...hosts.values()].flatMap(({ address }) => address ?? []);
    this.connections.retain(new Set(addresses));
  }

  /** Gets the engines that may get new requests, chosen among the engines of each model. */
  private getUsableEngines(index: ConfigurationIndex): ReadonlySet<string> {
    const { configuration } = index;
    const usable = configuration.models.flatMap(({ name }) =>
      this.hosts.getUsableNow(index.getEngines(name)),
    );
    return new Set(usable.map((host) => host.name));
  }

  private updateCapacity(engines: readonly PlacementEngine[], daemons: readonly string[]): void {
    const slots = engines.reduce((sum, item) => sum + (item.eligible ? item.slots : 0), 0);
    const capacity = Math.ceil((slots * capacityFactor) / daemons.length);
    this.admission.send({
      kind: "capacity",
      capacity,
      daemon: this.settings.process.name,
      daemons,
    });
  }

  private getActPeers(): readonly ActPeer[] {
    const daemons = [...this.hosts.getView().daemons.values()];
    return daemons.filter((daemon) => daemon.isListed).map(({ name }) => ({ name }));
  }

  private createAttemptId(): string {
    this.attempts += 1;
    return `${this.settings.process.name}/${this.incarnation}/${String(this.attempts)}`;
  }

  private countUsage(usage: Usage | undefined): void {
    if (usage === undefined) {
      return;
    }
    const { promptTokens, cachedTokens } = usage;
    this.metrics.promptTokens.inc({ source: "cache" }, cachedTokens);
    this.metrics.promptTokens.inc({ source: "computed" }, promptTokens - cachedTokens);
  }

  private async wait(until: Instant, signal: AbortSignal): Promise<void> {
    const milliseconds = Math.max(0, until - this.getNow());
    await delay(milliseconds, undefined, { signal }).catch(() => undefined);
  }
}
