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
import type { CallerQuarantine } from "../quarantine/index.js";
import { ServiceTask, type ServiceClient } from "../services/index.js";
import type { Context } from "./Context.js";
import type { ViewUpdater } from "./ViewUpdater.js";

/** What the tasks that serve callers depend on. */
export interface CallerTasksDependencies {
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly retries: RetryTask;
  readonly configuration: ConfigurationTask;
  readonly acts: ActTask;
  readonly viewUpdater: ViewUpdater;
  readonly client: ServiceClient;
  readonly sender: HostSender;
  readonly quarantine: CallerQuarantine;
}

const configurationRetryDelayMilliseconds = 1_000;

/** The tasks that serve callers. */
export class CallerTasks {
  readonly chats: ChatTask;
  readonly services: ServiceTask;
  readonly requestPipeline: CallerRequestPipeline;
  private attemptCount = 0;

  private constructor(
    private readonly context: Context,
    private readonly dependencies: CallerTasksDependencies,
  ) {
    this.chats = this.createChats();
    this.services = this.createServices();
    this.requestPipeline = this.createRequestPipeline();
  }

  /**
   * Creates the tasks.
   * @param context - What all tasks of the daemon share.
   * @param dependencies - Other tasks that these tasks call.
   */
  static create(context: Context, dependencies: CallerTasksDependencies): CallerTasks {
    return new CallerTasks(context, dependencies);
  }

  private createChats(): ChatTask {
    const { admission, placement, retries, hosts, viewUpdater, sender } = this.dependencies;
    const { quarantine } = this.dependencies;
    const { recorder, getNow } = this.context;
    return ChatTask.create({
      admission,
      placement,
      retries,
      hosts,
      quarantine,
      isServed: (model) => viewUpdater.isServed(model),
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
    const { admission, retries, acts, client, quarantine } = this.dependencies;
    return ServiceTask.create({
      admission,
      retries,
      acts,
      client,
      quarantine,
      recorder: this.context.recorder,
      createAttemptId: () => this.createAttemptId(),
      wait: (until, signal) => this.wait(until, signal),
    });
  }

  private createRequestPipeline(): CallerRequestPipeline {
    const { recorder, metrics, getNow, getPhase, settings } = this.context;
    return CallerRequestPipeline.create({
      recorder,
      metrics,
      isDraining: () => getPhase() === "draining",
      context: {
        getConfiguration: () => this.dependencies.configuration.getInForce()?.index,
        getNow,
        defaultTimeoutMilliseconds: settings.limits.requestMilliseconds,
        getConfigurationRetryAt: () => getNow() + configurationRetryDelayMilliseconds,
      },
    });
  }

  private createAttemptId(): string {
    this.attemptCount += 1;
    const { settings, incarnation } = this.context;
    return `${settings.process.name}/${incarnation}/${String(this.attemptCount)}`;
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
