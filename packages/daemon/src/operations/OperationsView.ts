import {
  actsPlugin,
  admissionPlugin,
  type ActTotals,
  type DaemonStatus,
  type EventPage,
  type ExplainedEffect,
  type Explanation,
  type Kernel,
} from "@pistachioway/kernel";
import { getEngineChatId } from "../chat/index.js";
import type { ConfigurationTask } from "../configuration/index.js";
import type { AdmissionTask, HostDirectory, PlacementTask } from "../kernel/index.js";
import type { Metrics } from "../metrics/index.js";
import type { PlatformTask } from "../platform/index.js";
import type { Timeline } from "../timeline/index.js";

/** A phase of the daemon's lifecycle. */
export type DaemonPhase = DaemonStatus["state"];

/** What the view depends on. */
export interface OperationsViewDependencies {
  readonly process: string;
  readonly incarnation: string;
  readonly zone: string;
  readonly version: string;
  readonly startedAt: number;
  readonly disabledGuards: readonly string[];
  readonly kernel: Kernel;
  readonly configuration: ConfigurationTask;
  readonly platform: PlatformTask;
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly metrics: Metrics;
  readonly timeline: Timeline;
  readonly getPhase: () => DaemonPhase;
  readonly getCounters: () => Readonly<Record<string, number>>;
  /** Updates the metrics whose values are kept by other tasks. */
  readonly updateMetrics: () => void;
}

/** Metrics in the Prometheus text format. */
export interface MetricsText {
  readonly contentType: string;
  readonly text: string;
}

/** What operators can read of a daemon. */
export class OperationsView {
  private constructor(private readonly dependencies: OperationsViewDependencies) {}

  /**
   * Creates the view.
   * @param dependencies - What the view depends on.
   */
  static create(dependencies: OperationsViewDependencies): OperationsView {
    return new OperationsView(dependencies);
  }

  /** Gets the lifecycle phase. The load balancer sends requests only to a `ready` daemon. */
  getState(): DaemonPhase {
    return this.dependencies.getPhase();
  }

  /** Gets the metrics in the Prometheus text format. */
  async getMetrics(): Promise<MetricsText> {
    this.dependencies.updateMetrics();
    const { registry } = this.dependencies.metrics;
    return { contentType: registry.contentType, text: await registry.metrics() };
  }

  /**
   * Gets a page of the timeline.
   * @param after - Sequence number of the last event that the reader has.
   * @param id - Selects the events that have this id in a field.
   */
  getEvents(after: number, id: string | undefined): EventPage {
    const page = this.dependencies.timeline.getPage(after, id);
    const { process, incarnation } = this.dependencies;
    return { process, incarnation, ...page };
  }

  /**
   * Explains at which engine a chat would be placed. Returns undefined if the model is unknown.
   * @param chat - Id of the chat, as its caller sends it.
   * @param model - Name of the chat's model.
   * @param team - Team of the chat; without it, `chat` is the id that is sent to engines.
   */
  explain(chat: string, model: string, team: string | undefined): Explanation | undefined {
    if (this.dependencies.configuration.getInForce()?.index.hasModel(model) !== true) {
      return undefined;
    }
    const engineChat = team === undefined ? chat : getEngineChatId(team, chat);
    const explained = this.dependencies.placement.explain(engineChat, model);
    return explained === undefined ? undefined : toExplanation(chat, explained);
  }

  /** Gets the status of this daemon and of the fleet as known to it. */
  getStatus(): DaemonStatus {
    const { process, incarnation, zone, version, startedAt, configuration } = this.dependencies;
    return {
      process,
      incarnation,
      zone,
      version,
      startedAt,
      state: this.dependencies.getPhase(),
      configuration: configuration.getStatus(),
      refused: configuration.getRefused(),
      platform: this.dependencies.platform.getStatus(configuration.isReader()),
      peers: this.getPeers(),
      engines: this.getEngines(),
      services: this.getServices(),
      teams: this.getTeams(),
      acts: this.getActs(),
      guards: { disabled: [...this.dependencies.disabledGuards] },
      counters: { ...this.dependencies.getCounters() },
    };
  }

  private getPeers(): DaemonStatus["peers"] {
    const daemons = [...this.dependencies.hosts.getView().daemons.values()];
    return daemons.map(({ name, zone, state, isLeaving }) => ({
      name,
      zone,
      state: isLeaving ? "leaving" : state,
      revision: this.dependencies.configuration.getPeerRevision(name),
    }));
  }

  private getEngines(): DaemonStatus["engines"] {
    const configured =
      this.dependencies.configuration.getInForce()?.index.configuration.engines ?? [];
    const hosts = this.dependencies.hosts.getView().hosts;
    const loads = this.getLoads();
    return configured.map(({ name, zone, models }) => {
      const host = hosts.get(name);
      return {
        name,
        zone,
        models,
        state: host?.state ?? "unknown",
        reason: host?.reason ?? "not on the host list",
        load: loads.get(name)?.load ?? 0,
        limit: loads.get(name)?.limit,
      };
    });
  }

  private getLoads(): Map<string, { load: number; limit: number }> {
    const models = this.dependencies.configuration.getInForce()?.index.configuration.models ?? [];
    const candidates = models.flatMap(
      (model) => this.dependencies.placement.explain("", model.name)?.candidates ?? [],
    );
    return new Map(candidates.map(({ engine, load, limit }) => [engine, { load, limit }]));
  }

  private getServices(): DaemonStatus["services"] {
    const configured =
      this.dependencies.configuration.getInForce()?.index.configuration.services ?? [];
    const hosts = this.dependencies.hosts.getView().hosts;
    return configured.map((service) => ({
      name: service.name,
      hosts: service.hosts.map(({ name, zone }) => ({
        name,
        zone,
        state: hosts.get(name)?.state ?? "unknown",
        reason: hosts.get(name)?.reason ?? "not on the host list",
      })),
    }));
  }

  private getTeams(): DaemonStatus["teams"] {
    const { teams } = this.dependencies.kernel.getStateOrThrow(admissionPlugin);
    return [...teams.values()].map(({ name, running, waiting }) => ({
      name,
      running,
      waiting: waiting.length,
      ...this.dependencies.admission.getCounts(name),
    }));
  }

  private getActs(): ActTotals {
    const totals = { sending: 0, done: 0, unknown: 0, refused: 0 };
    for (const holding of this.dependencies.kernel.getStateOrThrow(actsPlugin).holdings.values()) {
      for (const act of holding.acts.values()) {
        totals[act.conclusion?.state ?? "sending"] += 1;
      }
    }
    return totals;
  }
}

function toExplanation(chat: string, explained: ExplainedEffect): Explanation {
  const { model, mean, candidates, choice } = explained;
  return {
    chat,
    model,
    mean,
    choice,
    limit: candidates[0]?.limit ?? 0,
    candidates: [...candidates],
  };
}
