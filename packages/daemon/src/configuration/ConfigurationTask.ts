import {
  getInForce,
  getPublishedText,
  getRefused,
  getRevisionAnnouncement,
  isReader,
  revisionsPlugin,
  type ConfigurationInForce,
  type ConfigurationStatus,
  type Instant,
  type Kernel,
  type RefusedConfiguration,
  type Revision,
  type RevisionAnnouncement,
  type RevisionInForceEffect,
  type RevisionRefusedEffect,
  type RevisionsEffect,
  type RevisionsMessage,
} from "@pistachioway/kernel";
import type { Metrics } from "../metrics/index.js";
import type { ConfigurationReadResult } from "../platform/index.js";
import { ConfigurationIndex } from "../state/index.js";
import type { Recorder } from "../timeline/index.js";

/** The configuration that requests run under. */
export interface InForce {
  readonly index: ConfigurationIndex;
  readonly status: ConfigurationStatus;
}

/** What the task works with. */
export interface ConfigurationParts {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly recorder: Recorder;
  readonly metrics: Metrics;
  readonly onInForce: (inForce: InForce) => void;
  /** Reads the platform. */
  readonly read: (
    after: number | undefined,
    waitUntil: Instant,
  ) => Promise<ConfigurationReadResult>;
  /** Gets the text of a revision from a peer; undefined when it gave none. */
  readonly fetch: (from: string, revision: Revision) => Promise<string | undefined>;
  /** Sends this daemon's digest to every neighbour now. */
  readonly announce: () => void;
}

/** Owns the revisions plug-in: which published configuration is in force. */
export class ConfigurationTask {
  private readonly peerRevisions = new Map<string, number>();
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

  /** Gets the newest published value that was refused, unless a newer one is in force. */
  getRefused(): RefusedConfiguration | undefined {
    const refused = getRefused(this.parts.kernel.getStateOrThrow(revisionsPlugin));
    return refused === undefined ? undefined : this.refused;
  }

  /** Gets the configuration in force with the time of its last confirmation by the platform. */
  getConfigurationInForce(): ConfigurationInForce | undefined {
    return getInForce(this.parts.kernel.getStateOrThrow(revisionsPlugin));
  }

  /** Reads the platform now, as a confirmation of the configuration in force. */
  async readNow(): Promise<void> {
    await this.read(undefined, this.parts.getNow());
  }

  /** Gets what this daemon tells its neighbours of its configuration. */
  getDigest(): RevisionAnnouncement {
    return getRevisionAnnouncement(this.parts.kernel.getStateOrThrow(revisionsPlugin));
  }

  /** True while this daemon is one of its zone's readers of the platform. */
  isReader(): boolean {
    return isReader(this.parts.kernel.getStateOrThrow(revisionsPlugin), this.parts.getNow());
  }

  /**
   * Gets the text of a revision, for a peer that lacks it.
   * @param revision - Revision that the peer was told of.
   */
  getText(revision: Revision): string | undefined {
    return getPublishedText(this.parts.kernel.getStateOrThrow(revisionsPlugin), revision);
  }

  /**
   * Gets the revision that a peer last announced.
   * @param peer - Name of the daemon.
   */
  getPeerRevision(peer: string): number | undefined {
    return this.peerRevisions.get(peer);
  }

  /**
   * Takes what a peer told of its configuration.
   * @param digest - What it told.
   */
  takeDigest(digest: RevisionAnnouncement): void {
    if (digest.inForce !== undefined) {
      this.peerRevisions.set(digest.from, digest.inForce.revision);
    }
    this.send({ kind: "announcement", announcement: digest });
  }

  /**
   * Hands a message to the plug-in and carries out the effects.
   * @param message - Message to handle.
   */
  send(message: RevisionsMessage): void {
    const effects = this.parts.kernel.send(revisionsPlugin, message, this.parts.getNow());
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: RevisionsEffect): void {
    switch (effect.kind) {
      case "inForce":
        this.takeInForce(effect);
        return;
      case "refused":
        this.takeRefused(effect);
        return;
      case "stale":
        this.record("configuration.stale", effect.revision, effect.source.kind);
        return;
      case "conflict":
        this.record("configuration.conflict", effect.discarded, "peer");
        return;
      case "read":
        void this.read(effect.after, effect.waitUntil);
        return;
      case "fetch":
        void this.fetch(effect.from, effect.revision);
        return;
      case "announce":
        this.parts.announce();
    }
  }

  private takeInForce({ configuration, revision, source }: RevisionInForceEffect): void {
    const acceptedAt = this.parts.getNow();
    const status = { ...revision, acceptedAt, source: source.kind };
    this.inForce = { index: ConfigurationIndex.create(configuration), status };
    this.parts.metrics.configurationRevision.set(revision.revision);
    this.record("configuration.in-force", revision, source.kind);
    this.parts.onInForce(this.inForce);
  }

  private takeRefused({ revision, error, source }: RevisionRefusedEffect): void {
    const { digest } = revision;
    this.refused = { revision: revision.revision, digest, reasons: [...error.findings] };
    this.parts.metrics.configurationRefused.inc();
    this.record("configuration.refused", revision, source.kind);
  }

  private record(name: string, revision: Revision, source: string): void {
    const level = name === "configuration.in-force" ? "info" : "warn";
    this.parts.recorder.record(name, { ...revision, source }, level);
  }

  private async read(after: number | undefined, waitUntil: Instant): Promise<void> {
    const reading = await this.parts.read(after, waitUntil);
    switch (reading.kind) {
      case "published": {
        const { revision, value: text } = reading.published;
        this.send({ kind: "published", revision, text, source: { kind: "platform" } });
        return;
      }
      case "unchanged":
        this.send({ kind: "unchanged" });
        return;
      case "failed":
        this.send({ kind: "readFailed" });
    }
  }

  private async fetch(from: string, revision: Revision): Promise<void> {
    const text = await this.parts.fetch(from, revision);
    if (text === undefined) {
      this.send({ kind: "fetchFailed", from });
      return;
    }
    const source = { kind: "peer" as const, name: from };
    this.send({ kind: "published", revision: revision.revision, text, source });
  }
}
