import {
  getConfigurationDigest,
  parseConfiguration,
  type ConfigurationStatus,
  type Instant,
  type RefusedConfiguration,
} from "@pistachioway/kernel";
import type { PublishedConfiguration } from "../platform/index.js";
import { ConfigurationIndex } from "../state/index.js";
import type { Recorder } from "../timeline/index.js";

/** The configuration that requests run under. */
export interface InForce {
  readonly index: ConfigurationIndex;
  readonly status: ConfigurationStatus;
}

/** What the task works with. */
export interface ConfigurationParts {
  readonly getNow: () => Instant;
  readonly recorder: Recorder;
  readonly onInForce: (inForce: InForce) => void;
}

/** Decides which published configuration is in force. */
export class ConfigurationTask {
  private inForce: InForce | undefined;
  private refused: RefusedConfiguration | undefined;

  private constructor(private readonly parts: ConfigurationParts) {}

  /**
   * Creates the task, with no configuration in force.
   * @param parts - What the task works with.
   */
  static create(parts: ConfigurationParts): ConfigurationTask {
    return new ConfigurationTask(parts);
  }

  /** Gets the configuration in force. */
  getInForce(): InForce | undefined {
    return this.inForce;
  }

  /** Gets what operators read of the configuration in force. */
  getStatus(): ConfigurationStatus | undefined {
    return this.inForce?.status;
  }

  /** Gets the newest published value that was refused. */
  getRefused(): RefusedConfiguration | undefined {
    return this.refused;
  }

  /**
   * Gets the revision that a peer last announced.
   * @param _peer - Name of the daemon.
   */
  getPeerRevision(_peer: string): number | undefined {
    return undefined;
  }

  /**
   * Takes a published value.
   * @param published - Value of the configuration service.
   * @param source - Where it came from.
   */
  publish(published: PublishedConfiguration, source: "platform" | "peer"): void {
    const { revision, value } = published;
    if (revision <= (this.inForce?.status.revision ?? -1)) {
      return;
    }
    const digest = getConfigurationDigest(value);
    parseConfiguration(value).match({
      Ok: (configuration) => {
        const acceptedAt = this.parts.getNow();
        const { generation } = configuration;
        const status = { generation, revision, digest, acceptedAt, source };
        this.inForce = { index: ConfigurationIndex.create(configuration), status };
        this.parts.recorder.record("configuration.in-force", { revision, source }, "info");
        this.parts.onInForce(this.inForce);
      },
      Err: (error) => {
        this.refused = { revision, digest, reasons: [...error.findings] };
        const detail = error.message;
        this.parts.recorder.record("configuration.refused", { revision, detail }, "warn");
      },
    });
  }
}
