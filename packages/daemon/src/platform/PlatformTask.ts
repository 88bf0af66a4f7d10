import type { HostList, Instant, PlatformStatus } from "@pistachioway/kernel";
import type { Metrics } from "../metrics/index.js";
import type { Recorder } from "../timeline/index.js";
import {
  PlatformReader,
  type PlatformListener,
  type PlatformValue,
  type PublishedConfiguration,
} from "./PlatformReader.js";

/** What the task works with. */
export interface PlatformParts {
  readonly address: string;
  readonly getNow: () => Instant;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  readonly onConfiguration: (published: PublishedConfiguration) => void;
  readonly onHosts: (list: HostList) => void;
  readonly onFailure: (value: PlatformValue) => void;
}

/** Reads the platform: always the host list, the configuration while this daemon is a reader. */
export class PlatformTask {
  private configurationReader: PlatformReader | undefined;
  private hostsReader: PlatformReader | undefined;
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
    this.hostsReader = this.createReader("hosts");
  }

  /**
   * Starts or stops to watch the configuration.
   * @param isReader - True while this daemon is one of its zone's readers.
   */
  setReader(isReader: boolean): void {
    if (isReader === (this.configurationReader !== undefined)) {
      return;
    }
    this.configurationReader?.stop();
    this.configurationReader = isReader ? this.createReader("configuration") : undefined;
  }

  /** Reads the host list now, without waiting for a change. */
  refresh(): void {
    this.hostsReader?.stop();
    this.hostsReader = this.createReader("hosts");
  }

  /** Stops every watch. */
  stop(): void {
    this.hostsReader?.stop();
    this.setReader(false);
  }

  /** Gets what operators read of the platform. */
  getStatus(): PlatformStatus {
    return {
      reachable: this.isReachable,
      lastReadAt: this.lastReadAt,
      isReader: this.configurationReader !== undefined,
      calls: this.calls,
    };
  }

  private createReader(value: PlatformValue): PlatformReader {
    const { address, getNow } = this.parts;
    return PlatformReader.create(address, value, this.createListener(), getNow);
  }

  private createListener(): PlatformListener {
    return {
      onConfiguration: this.parts.onConfiguration,
      onHosts: this.parts.onHosts,
      onCall: (value, bytes) => {
        this.countCall(value, bytes);
      },
      onFailure: (value, detail, retryAt) => {
        this.fail(value, detail, retryAt);
      },
    };
  }

  private countCall(value: PlatformValue, bytes: number): void {
    this.calls += 1;
    this.isReachable = true;
    this.lastReadAt = this.parts.getNow();
    this.parts.metrics.platformCalls.inc({ value, result: "answered" });
    this.parts.metrics.controlBytes.inc({ channel: "platform", direction: "received" }, bytes);
  }

  private fail(value: PlatformValue, detail: string, retryAt: Instant): void {
    this.isReachable = false;
    this.parts.metrics.platformCalls.inc({ value, result: "failed" });
    this.parts.recorder.record("platform.read-failed", { value, detail, retryAt }, "warn");
    this.parts.onFailure(value);
  }
}
