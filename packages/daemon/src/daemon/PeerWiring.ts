import {
  actsPlugin,
  getAdoptedHoldings,
  getHealthReports,
  membershipPlugin,
  type HostList,
  type Revision,
} from "@pistachioway/kernel";
import { randomUUID } from "node:crypto";
import { promisify } from "node:util";
import { gzip } from "node:zlib";
import type { ActTask } from "../acts/index.js";
import type { ConfigurationTask } from "../configuration/index.js";
import { GossipTask, PeerLinks, type Heartbeat } from "../gossip/index.js";
import type { AdmissionTask, HostDirectory, PlacementTask } from "../kernel/index.js";
import type { DatagramSender, PeerConfiguration, PeerHandlers } from "../peers/index.js";
import type { Context } from "./Context.js";

/** The tasks that messages of peers go to. */
export interface PeerTargets {
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly configuration: ConfigurationTask;
  readonly acts: ActTask;
}

/** What the wiring works with. */
export interface WiringParts {
  readonly context: Context;
  /** Gets the newest host list that was read, if it is newer than a revision. */
  readonly getHostList: (after: number) => HostList | null;
  /** Takes a host list that a peer had read. */
  readonly takeHostList: (list: HostList) => void;
  /** A daemon began to stop, or is back. */
  readonly onDaemonChanged: () => void;
  /** Gets the targets; they are created after the wiring. */
  readonly getTargets: () => PeerTargets;
}

const gzipAsync = promisify(gzip);

/** Connects the links and digests between daemons to the tasks of this one. */
export class PeerWiring {
  readonly links: PeerLinks;
  readonly digests: GossipTask;
  private readonly drainingDaemons = new Set<string>();

  private constructor(private readonly parts: WiringParts) {
    this.links = this.createLinks();
    this.digests = this.createDigests();
  }

  /**
   * Creates the links and digests.
   * @param parts - What they work with.
   */
  static create(parts: WiringParts): PeerWiring {
    return new PeerWiring(parts);
  }

  /** Asks daemons by calls for what digests would tell, while no configuration is in force. */
  bootstrap(): void {
    const known = this.digests.getRefreshPeers();
    for (const peer of new Set([...known, ...this.links.getSeeds()])) {
      void this.askForHosts(peer);
      void this.askForRevision(peer);
    }
  }

  /** Asks neighbours that fell silent, so that the engines of an ended one get an owner soon. */
  checkSilentNeighbours(): void {
    for (const daemon of this.digests.getUnresponsiveNeighbours()) {
      void this.links.isUnreachable(daemon).then((isGone) => {
        if (isGone) {
          this.targets.placement.send({ kind: "peerLost", daemon });
        }
      });
    }
  }

  /** Asks a few peers, after a pause, for what changed meanwhile. */
  refresh(): void {
    for (const peer of this.digests.getRefreshPeers()) {
      void this.links.getHealthReports(peer).then((signs) => {
        for (const sign of signs) {
          this.targets.hosts.send({ kind: "peerHealthReport", from: peer, ...sign });
        }
      });
    }
  }

  private async askForHosts(peer: string): Promise<void> {
    const list = await this.links.getHosts(peer, this.parts.getHostList(-1)?.revision ?? -1);
    if (list !== null) {
      this.parts.takeHostList(list);
    }
  }

  private async askForRevision(peer: string): Promise<void> {
    const digest = await this.links.getRevisionAnnouncement(peer);
    if (digest !== undefined) {
      this.targets.configuration.receiveRevisionAnnouncement(digest);
    }
  }

  private get targets(): PeerTargets {
    return this.parts.getTargets();
  }

  private createLinks(): PeerLinks {
    return PeerLinks.create({
      settings: this.parts.context.settings,
      startedAt: this.parts.context.startedAt,
      getNow: this.parts.context.getNow,
      metrics: this.parts.context.metrics,
      recorder: this.parts.context.recorder,
      getDaemons: () => this.targets.hosts.getView().daemons,
      onPart: (from, part) => {
        this.digests.receivePart(from, part);
      },
      handlers: this.createHandlers(),
    });
  }

  private createHandlers(): PeerHandlers {
    return {
      forwardAct: (act, from) => this.targets.acts.submitForwarded(from, act),
      adoptActs: async ({ successor, table }) => ({
        accepted: await this.targets.acts.adopt(randomUUID(), successor, table),
      }),
      getConfiguration: (revision) => this.getConfiguration(revision),
      getHosts: ({ after }) => Promise.resolve(this.parts.getHostList(after)),
      getRevisionAnnouncement: () =>
        Promise.resolve(this.targets.configuration.getRevisionAnnouncement()),
      getHealthReports: () =>
        Promise.resolve(
          getHealthReports(this.parts.context.kernel.getStateOrThrow(membershipPlugin)),
        ),
    };
  }

  private async getConfiguration(revision: Revision): Promise<PeerConfiguration> {
    const text = this.targets.configuration.getText(revision);
    return text === undefined ? null : { gzip: await gzipAsync(text) };
  }

  private createDigests(): GossipTask {
    const { name: daemon, zone } = this.parts.context.settings.process;
    return GossipTask.create({
      daemon,
      zone,
      incarnation: this.parts.context.incarnation,
      getNow: this.parts.context.getNow,
      timeline: this.parts.context.timeline,
      getDaemons: () => this.targets.hosts.getView().daemons.values(),
      getHoldings: () => getAdoptedHoldings(this.parts.context.kernel.getStateOrThrow(actsPlugin)),
      isDraining: () => this.parts.context.getPhase() === "draining",
      getRevisionAnnouncement: () => this.targets.configuration.getRevisionAnnouncement(),
      send: (to, address, parts) => {
        this.links.send(to, address, parts);
      },
      onSending: (topic) => {
        this.parts.context.metrics.controlParts.inc({ topic });
      },
      onHeartbeat: (from, heartbeat) => {
        this.takeHeartbeat(from, heartbeat);
      },
      onPlacementMessage: (from, message) => {
        this.targets.placement.send({ kind: "peer", from, message });
      },
      onHealthReports: (from, signs) => {
        for (const sign of signs) {
          this.targets.hosts.send({ kind: "peerHealthReport", from, ...sign });
        }
      },
      onTeamTotals: (from, totals) => {
        this.targets.admission.send({
          kind: "peerTotals",
          from,
          at: this.parts.context.getNow(),
          totals,
        });
      },
      onRevisionAnnouncement: (digest) => {
        this.targets.configuration.receiveRevisionAnnouncement(digest);
      },
      onMalformed: (from, topic) => {
        this.parts.context.metrics.droppedMessages.inc({ reason: "malformed" });
        this.parts.context.recorder.record("peer.message-dropped", {
          reason: "malformed",
          from,
          topic,
        });
      },
    });
  }

  private takeHeartbeat(from: DatagramSender, heartbeat: Heartbeat): void {
    const { sender: daemon, incarnation } = from;
    const at = this.parts.context.getNow();
    this.targets.hosts.send({ kind: "heartbeat", daemon, zone: heartbeat.zone, incarnation, at });
    if (this.drainingDaemons.has(daemon) !== heartbeat.isDraining) {
      if (heartbeat.isDraining) {
        this.drainingDaemons.add(daemon);
      } else {
        this.drainingDaemons.delete(daemon);
      }
      this.parts.onDaemonChanged();
    }
  }
}
