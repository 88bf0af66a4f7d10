import {
  getConfigurationDigest,
  parseConfiguration,
  type ConfigurationStatus,
  type Instant,
  type RefusedConfiguration,
} from "@pistachioway/kernel";
import { z } from "zod";
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
  /** A peer has a newer configuration. */
  readonly onNewer: (peer: string) => void;
}

const announcementSchema = z.tuple([z.int()]);

/** Decides which published configuration is in force. */
export class ConfigurationTask {
  private readonly peerRevisions = new Map<string, number>();
  private inForce: InForce | undefined;
  private published: PublishedConfiguration | undefined;
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
   * @param peer - Name of the daemon.
   */
  getPeerRevision(peer: string): number | undefined {
    return this.peerRevisions.get(peer);
  }

  /** Gets what this daemon tells its neighbours of the configuration in force. */
  getAnnouncement(): unknown {
    return this.inForce === undefined ? undefined : [this.inForce.status.revision];
  }

  /**
   * Takes what a peer told of its configuration.
   * @param from - Name of the daemon.
   * @param announcement - What it told.
   */
  takeAnnouncement(from: string, announcement: unknown): void {
    const [revision] = announcementSchema.parse(announcement);
    this.peerRevisions.set(from, revision);
    if (revision > (this.inForce?.status.revision ?? -1)) {
      this.parts.onNewer(from);
    }
  }

  /**
   * Gets the value in force, for a peer that has an older one.
   * @param after - Revision that the peer has; -1 for none.
   */
  getPublished(after: number): PublishedConfiguration | null {
    return this.published !== undefined && this.published.revision > after ? this.published : null;
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
        this.published = published;
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
