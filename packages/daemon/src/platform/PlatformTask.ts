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
import { readValue, type PlatformValue, type ReadError, type Reading } from "./readValue.js";

/** What the task works with. */
export interface PlatformParts {
  readonly address: string;
  readonly getNow: () => Instant;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  readonly onHosts: (list: HostList) => void;
}

/** A value of the configuration service. */
export type PublishedConfiguration = z.infer<typeof publishedSchema>;

/** What a read of the configuration gave. */
export type ConfigurationReading =
  | { readonly kind: "published"; readonly published: PublishedConfiguration }
  | { readonly kind: "unchanged" }
  | { readonly kind: "failed" };

const publishedSchema = z.strictObject({ revision: z.int().min(0), value: z.string() });
const watchMilliseconds = 25_000;
const minPauseMilliseconds = 250;
const maxPauseMilliseconds = 4_000;

/** Reads the platform, and only reads: watches the host list, and the configuration when asked. */
export class PlatformTask {
  private readonly stopping = new AbortController();
  private watch = new AbortController();
  private hostsRevision: number | undefined;
  private isReachable = false;
  private lastReadAt: Instant | undefined;
  private calls = 0;

  private constructor(private readonly parts: PlatformParts) {}

  /**
   * Creates the task; it reads nothing before `start`.
   * @param parts - What the task works with.
   */
  static create(parts: PlatformParts): PlatformTask {
    return new PlatformTask(parts);
  }

  /** Starts to watch the host list. */
  start(): void {
    void this.watchHosts(this.watch.signal);
  }

  /** Reads the host list now, without waiting for a change. */
  refresh(): void {
    this.watch.abort();
    this.watch = new AbortController();
    this.hostsRevision = undefined;
    this.start();
  }

  /** Ends every call. */
  stop(): void {
    this.stopping.abort();
    this.watch.abort();
  }

  /**
   * Reads the configuration.
   * @param after - Revision that is known; the call waits for another one.
   * @param waitUntil - When to stop waiting.
   */
  async readConfiguration(
    after: number | undefined,
    waitUntil: Instant,
  ): Promise<ConfigurationReading> {
    const reading = await this.read("configuration", after, waitUntil, this.stopping.signal);
    if (reading === undefined) {
      return { kind: "failed" };
    }
    if (reading.document === undefined) {
      return { kind: "unchanged" };
    }
    const published = publishedSchema.safeParse(reading.document);
    if (published.success) {
      return { kind: "published", published: published.data };
    }
    this.fail("configuration", new PlatformUnreachableError("configuration", published.error));
    return { kind: "failed" };
  }

  /**
   * Gets what operators read of the platform.
   * @param isReader - True while this daemon is one of its zone's readers of the configuration.
   */
  getStatus(isReader: boolean): PlatformStatus {
    const { isReachable: reachable, lastReadAt, calls } = this;
    return { reachable, lastReadAt, isReader, calls };
  }

  private async watchHosts(signal: AbortSignal): Promise<void> {
    let pauseMilliseconds = minPauseMilliseconds;
    while (!signal.aborted) {
      const waitUntil = this.parts.getNow() + watchMilliseconds;
      const reading = await this.read("hosts", this.hostsRevision, waitUntil, signal);
      if (reading !== undefined && this.takeHosts(reading)) {
        pauseMilliseconds = minPauseMilliseconds;
        continue;
      }
      await delay(pauseMilliseconds, undefined, { signal }).catch(() => undefined);
      pauseMilliseconds = Math.min(pauseMilliseconds * 2, maxPauseMilliseconds);
    }
  }

  /** Takes a reading of the host list; false when it cannot be read. */
  private takeHosts(reading: Reading): boolean {
    if (reading.document === undefined) {
      return true;
    }
    const list = hostListSchema.safeParse(reading.document);
    if (!list.success) {
      this.fail("hosts", new PlatformUnreachableError("hosts", list.error));
      return false;
    }
    this.hostsRevision = list.data.revision;
    this.parts.onHosts(list.data);
    return true;
  }

  private async read(
    value: PlatformValue,
    after: number | undefined,
    waitUntil: Instant,
    signal: AbortSignal,
  ): Promise<Reading | undefined> {
    const { address, getNow, metrics } = this.parts;
    this.calls += 1;
    const reading = await readValue({ address, value, after, waitUntil, signal }, getNow);
    if (reading.isErr) {
      if (!signal.aborted) {
        this.fail(value, reading.error);
      }
      return undefined;
    }
    this.isReachable = true;
    this.lastReadAt = getNow();
    metrics.platformCalls.inc({ value, result: "answered" });
    metrics.controlBytes.inc({ channel: "platform", direction: "received" }, reading.value.bytes);
    return reading.value;
  }

  private fail(value: PlatformValue, error: ReadError): void {
    this.isReachable = false;
    this.parts.metrics.platformCalls.inc({ value, result: "failed" });
    this.parts.recorder.record("platform.read-failed", { value, detail: error.message }, "warn");
  }
}
