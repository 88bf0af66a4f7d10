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
export interface ActiveConfiguration {
  readonly index: ConfigurationIndex;
  readonly status: ConfigurationStatus;
}

/** What the task depends on. */
export interface ConfigurationDependencies {
  readonly kernel: Kernel;
  readonly getNow: () => Instant;
  readonly recorder: Recorder;
  readonly metrics: Metrics;
  readonly onInForce: (inForce: ActiveConfiguration) => void;
  /** Reads the platform. */
  readonly read: (
    after: number | undefined,
    waitUntil: Instant,
  ) => Promise<ConfigurationReadResult>;
  /** Gets the text of a revision from a peer; undefined when the peer did not send it. */
  readonly fetch: (from: string, revision: Revision) => Promise<string | undefined>;
  /** Sends this daemon's revision announcement to every neighbour now. */
  readonly announce: () => void;
}

/** Runs the revisions plug-in, which decides what published configuration is in force. */
export class ConfigurationTask {
  private readonly peerRevisions = new Map<string, number>();
  private inForce: ActiveConfiguration | undefined;
  private refused: RefusedConfiguration | undefined;

  private constructor(private readonly dependencies: ConfigurationDependencies) {}

  /**
   * Creates the task, with no configuration in force.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: ConfigurationDependencies): ConfigurationTask {
    return new ConfigurationTask(dependencies);
  }

  /** Gets the configuration in force. */
  getInForce(): ActiveConfiguration | undefined {
    return this.inForce;
  }

  /** Gets the status of the configuration in force, for operators. */
  getStatus(): ConfigurationStatus | undefined {
    return this.inForce?.status;
  }

  /** Gets the newest published value that was refused, unless a newer one is in force. */
  getRefused(): RefusedConfiguration | undefined {
    const refused = getRefused(this.dependencies.kernel.getStateOrThrow(revisionsPlugin));
    return refused === undefined ? undefined : this.refused;
  }

  /** Gets the configuration in force with the time of its last confirmation by the platform. */
  getConfigurationInForce(): ConfigurationInForce | undefined {
    return getInForce(this.dependencies.kernel.getStateOrThrow(revisionsPlugin));
  }

  /** Reads the platform now, to confirm the configuration in force. */
  async readNow(): Promise<void> {
    await this.read(undefined, this.dependencies.getNow());
  }

  /** Gets what this daemon announces to its neighbours of its configuration. */
  getRevisionAnnouncement(): RevisionAnnouncement {
    return getRevisionAnnouncement(this.dependencies.kernel.getStateOrThrow(revisionsPlugin));
  }

  /** Checks whether this daemon is one of the readers of its zone, which read the platform. */
  isReader(): boolean {
    return isReader(
      this.dependencies.kernel.getStateOrThrow(revisionsPlugin),
      this.dependencies.getNow(),
    );
  }

  /**
   * Gets the text of a revision, for a peer that lacks it.
   * @param revision - Revision that was announced to the peer.
   */
  getText(revision: Revision): string | undefined {
    return getPublishedText(this.dependencies.kernel.getStateOrThrow(revisionsPlugin), revision);
  }

  /**
   * Gets the revision that a peer last announced.
   * @param peer - Name of the daemon.
   */
  getPeerRevision(peer: string): number | undefined {
    return this.peerRevisions.get(peer);
  }

  /**
   * Handles what a peer announced of its configuration.
   * @param announcement - Announcement of the peer.
   */
  receiveRevisionAnnouncement(announcement: RevisionAnnouncement): void {
    if (announcement.inForce !== undefined) {
      this.peerRevisions.set(announcement.from, announcement.inForce.revision);
    }
    this.send({ kind: "announcement", announcement });
  }

  /**
   * Sends a message to the plug-in and carries out its effects.
   * @param message - Message to handle.
   */
  send(message: RevisionsMessage): void {
    const effects = this.dependencies.kernel.send(
      revisionsPlugin,
      message,
      this.dependencies.getNow(),
    );
    for (const effect of effects) {
      this.carryOut(effect);
    }
  }

  private carryOut(effect: RevisionsEffect): void {
    switch (effect.kind) {
      case "inForce":
        this.handleInForce(effect);
        return;
      case "refused":
        this.handleRefused(effect);
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
        this.dependencies.announce();
    }
  }

  private handleInForce({ configuration, revision, source }: RevisionInForceEffect): void {
    const acceptedAt = this.dependencies.getNow();
    const status = { ...revision, acceptedAt, source: source.kind };
    this.inForce = { index: ConfigurationIndex.create(configuration), status };
    this.dependencies.metrics.configurationRevision.set(revision.revision);
    this.record("configuration.in-force", revision, source.kind);
    this.dependencies.onInForce(this.inForce);
  }

  private handleRefused({ revision, error, source }: RevisionRefusedEffect): void {
    const { digest } = revision;
    this.refused = { revision: revision.revision, digest, reasons: [...error.findings] };
    this.dependencies.metrics.configurationRefused.inc();
    this.record("configuration.refused", revision, source.kind);
  }

  private record(name: string, revision: Revision, source: string): void {
    const level = name === "configuration.in-force" ? "info" : "warn";
    this.dependencies.recorder.record(name, { ...revision, source }, level);
  }

  private async read(after: number | undefined, waitUntil: Instant): Promise<void> {
    const reading = await this.dependencies.read(after, waitUntil);
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
    const text = await this.dependencies.fetch(from, revision);
    if (text === undefined) {
      this.send({ kind: "fetchFailed", from });
      return;
    }
    const source = { kind: "peer" as const, name: from };
    this.send({ kind: "published", revision: revision.revision, text, source });
  }
}
