import {
  hostListSchema,
  type HostList,
  type Instant,
  type PlatformStatus,
} from "@pistachioway/kernel";
import { setTimeout as delay } from "node:timers/promises";
import { z } from "zod";
import { PlatformUnreachableError } from "../errors/index.js";
import type { Metrics } from "../metrics/index.js";
import type { Recorder } from "../timeline/index.js";
import { readValue, type PlatformValue, type ReadError, type ReadResult } from "./readValue.js";

/** What the task depends on. */
export interface PlatformTaskDependencies {
  readonly address: string;
  readonly getNow: () => Instant;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  readonly onHostList: (list: HostList) => void;
}

/** A published configuration and its revision. */
export type PublishedConfiguration = z.infer<typeof publishedSchema>;

/** The result of a read of the configuration. */
export type ConfigurationReadResult =
  | { readonly kind: "published"; readonly published: PublishedConfiguration }
  | { readonly kind: "unchanged" }
  | { readonly kind: "failed" };

const publishedSchema = z.strictObject({ revision: z.int().min(0), value: z.string() });
const watchTimeoutMilliseconds = 25_000;
const minRetryDelayMilliseconds = 250;
const maxRetryDelayMilliseconds = 4_000;

/** Watches the host list of the platform, and reads the configuration on request. Never writes. */
export class PlatformTask {
  private readonly stopController = new AbortController();
  /** Cancels the call that is under way. */
  private callController = new AbortController();
  private hostsRevision: number | undefined;
  private isReachable = false;
  private lastReadAt: Instant | undefined;
  private callCount = 0;
  private turnCount = 0;

  private constructor(private readonly dependencies: PlatformTaskDependencies) {}

  /**
   * Creates the task. It reads nothing before `run`.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: PlatformTaskDependencies): PlatformTask {
    return new PlatformTask(dependencies);
  }

  /** Watches the host list until the task is stopped. */
  async run(): Promise<void> {
    let retryDelayMilliseconds = minRetryDelayMilliseconds;
    while (!this.stopController.signal.aborted) {
      const { signal } = this.callController;
      const isRead = await this.readHosts(signal);
      this.turnCount += 1;
      if (isRead || signal.aborted) {
        retryDelayMilliseconds = minRetryDelayMilliseconds;
        continue;
      }
      await delay(retryDelayMilliseconds, undefined, { signal }).catch(() => undefined);
      retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, maxRetryDelayMilliseconds);
    }
  }

  /** Gets the number of reads of the host list that have ended, with or without a response. */
  getTurnCount(): number {
    return this.turnCount;
  }

  /** Reads the host list immediately, without waiting for a change, and continues to watch it. */
  refresh(): void {
    this.callController.abort();
    this.callController = new AbortController();
    this.hostsRevision = undefined;
  }

  /** Cancels all calls. */
  stop(): void {
    this.stopController.abort();
    this.callController.abort();
  }

  /**
   * Reads the configuration.
   * @param after - Known revision; the call waits for a different one. Undefined: does not wait.
   * @param waitUntil - Time until which the call waits.
   */
  async readConfiguration(
    after: number | undefined,
    waitUntil: Instant,
  ): Promise<ConfigurationReadResult> {
    const result = await this.read("configuration", after, waitUntil, this.stopController.signal);
    if (result === undefined) {
      return { kind: "failed" };
    }
    if (result.document === undefined) {
      return { kind: "unchanged" };
    }
    const published = publishedSchema.safeParse(result.document);
    if (published.success) {
      return { kind: "published", published: published.data };
    }
    this.recordFailure(
      "configuration",
      new PlatformUnreachableError("configuration", published.error),
    );
    return { kind: "failed" };
  }

  /**
   * Gets the status for operators.
   * @param isReader - Whether this daemon is one of the readers of the configuration in its zone.
   */
  getStatus(isReader: boolean): PlatformStatus {
    const { isReachable: reachable, lastReadAt, callCount: calls } = this;
    return { reachable, lastReadAt, isReader, calls };
  }

  /** Reads the host list once. Returns false if it was not read, or cannot be applied. */
  private async readHosts(signal: AbortSignal): Promise<boolean> {
    const waitUntil = this.dependencies.getNow() + watchTimeoutMilliseconds;
    const result = await this.read("hosts", this.hostsRevision, waitUntil, signal);
    return result !== undefined && this.handleHostList(result);
  }

  private handleHostList(result: ReadResult): boolean {
    if (result.document === undefined) {
      return true;
    }
    try {
      const list = hostListSchema.parse(result.document);
      this.hostsRevision = list.revision;
      this.dependencies.onHostList(list);
      return true;
    } catch (error) {
      this.hostsRevision = undefined;
      this.recordFailure("hosts", new PlatformUnreachableError("hosts", error));
      return false;
    }
  }

  private async read(
    value: PlatformValue,
    after: number | undefined,
    waitUntil: Instant,
    signal: AbortSignal,
  ): Promise<ReadResult | undefined> {
    const { address, getNow, metrics } = this.dependencies;
    this.callCount += 1;
    const result = await readValue({ address, value, after, waitUntil, signal }, getNow);
    if (result.isErr) {
      if (!signal.aborted) {
        this.recordFailure(value, result.error);
      }
      return undefined;
    }
    this.isReachable = true;
    this.lastReadAt = getNow();
    metrics.platformCalls.inc({ value, result: "answered" });
    metrics.controlBytes.inc({ channel: "platform", direction: "received" }, result.value.bytes);
    return result.value;
  }

  private recordFailure(value: PlatformValue, error: ReadError): void {
    this.isReachable = false;
    this.dependencies.metrics.platformCalls.inc({ value, result: "failed" });
    this.dependencies.recorder.record(
      "platform.read-failed",
      { value, detail: error.message },
      "warn",
    );
  }
}
