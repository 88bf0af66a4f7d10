import type { Instant } from "@pistachioway/kernel";
import { setTimeout as delay } from "node:timers/promises";
import type { ActTask } from "../acts/index.js";
import { CallerRequestPipeline } from "../callers/index.js";
import { ChatTask, EngineClient, type Usage } from "../chat/index.js";
import type { ConfigurationTask } from "../configuration/index.js";
import type {
  AdmissionTask,
  HostDirectory,
  HostSender,
  PlacementTask,
  RetryTask,
} from "../kernel/index.js";
import { ServiceTask, type ServiceClient } from "../services/index.js";
import type { Context } from "./Context.js";
import type { ViewUpdater } from "./ViewUpdater.js";

/** The tasks that serve callers work with these. */
export interface CallerTargets {
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly retries: RetryTask;
  readonly configuration: ConfigurationTask;
  readonly acts: ActTask;
  readonly views: ViewUpdater;
  readonly client: ServiceClient;
  readonly sender: HostSender;
}

const configurationRetryMilliseconds = 1_000;

/** Creates the tasks that serve callers. */
export class CallerWiring {
  readonly chats: ChatTask;
  readonly services: ServiceTask;
  readonly gate: CallerRequestPipeline;
  private attempts = 0;

  private constructor(
    private readonly context: Context,
    private readonly targets: CallerTargets,
  ) {
    this.chats = this.createChats();
    this.services = this.createServices();
    this.gate = this.createGate();
  }

  /**
   * Creates the tasks.
   * @param context - What every task may use.
   * @param targets - What these tasks work with.
   */
  static create(context: Context, targets: CallerTargets): CallerWiring {
    return new CallerWiring(context, targets);
  }

  private createChats(): ChatTask {
    const { admission, placement, retries, hosts, views, sender } = this.targets;
    const { recorder, getNow } = this.context;
    return ChatTask.create({
      admission,
      placement,
      retries,
      hosts,
      isServed: (model) => views.isServed(model),
      engines: EngineClient.create(sender, getNow),
      recorder,
      createAttemptId: () => this.createAttemptId(),
      onUsage: (usage) => {
        this.countUsage(usage);
      },
      wait: (until, signal) => this.wait(until, signal),
    });
  }

  private createServices(): ServiceTask {
    const { admission, retries, acts, client } = this.targets;
    return ServiceTask.create({
      admission,
      retries,
      acts,
      client,
      recorder: this.context.recorder,
      createAttemptId: () => this.createAttemptId(),
      wait: (until, signal) => this.wait(until, signal),
    });
  }

  private createGate(): CallerRequestPipeline {
    const { recorder, metrics, getNow, getPhase, settings } = this.context;
    return CallerRequestPipeline.create({
      recorder,
      metrics,
      isDraining: () => getPhase() === "draining",
      context: {
        getConfiguration: () => this.targets.configuration.getInForce()?.index,
        getNow,
        defaultTimeoutMilliseconds: settings.limits.requestMilliseconds,
        getConfigurationRetryAt: () => getNow() + configurationRetryMilliseconds,
      },
    });
  }

  private createAttemptId(): string {
    this.attempts += 1;
    const { settings, incarnation } = this.context;
    return `${settings.process.name}/${incarnation}/${String(this.attempts)}`;
  }

  private countUsage(usage: Usage | undefined): void {
    if (usage === undefined) {
      return;
    }
    const { promptTokens, cachedTokens } = usage;
    const counter = this.context.metrics.promptTokens;
    counter.inc({ source: "cache" }, cachedTokens);
    counter.inc({ source: "computed" }, promptTokens - cachedTokens);
  }

  private async wait(until: Instant, signal: AbortSignal): Promise<void> {
    const milliseconds = Math.max(0, until - this.context.getNow());
    await delay(milliseconds, undefined, { signal }).catch(() => undefined);
  }
}
