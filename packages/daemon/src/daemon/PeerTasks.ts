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
import type { CallerQuarantine } from "../quarantine/index.js";
import type { ConfigurationTask } from "../configuration/index.js";
import { GossipTask, PeerLinks, type Heartbeat } from "../gossip/index.js";
import type { AdmissionTask, HostDirectory, PlacementTask } from "../kernel/index.js";
import type { DatagramSender, PeerConfiguration, PeerHandlers } from "../peers/index.js";
import type { Context } from "./Context.js";

/** The tasks that messages from peers are delivered to. */
export interface PeerTargets {
  readonly hosts: HostDirectory;
  readonly placement: PlacementTask;
  readonly admission: AdmissionTask;
  readonly configuration: ConfigurationTask;
  readonly acts: ActTask;
  readonly quarantine: CallerQuarantine;
}

/** What the links and the gossip between daemons depend on. */
export interface PeerTasksDependencies {
  readonly context: Context;
  /** Gets the newest host list that was read, or null if it is not newer than a revision. */
  readonly getHostList: (after: number) => HostList | null;
  /** Receives a host list that a peer has read. */
  readonly receiveHostList: (list: HostList) => void;
  /** Called when a daemon starts to drain, or when it accepts requests again. */
  readonly onDaemonChanged: () => void;
  /** Gets the tasks that messages are delivered to; they are created after these tasks. */
  readonly getTargets: () => PeerTargets;
}

const gzipAsync = promisify(gzip);

/** Connects the links and the gossip between daemons to the tasks of this daemon. */
export class PeerTasks {
  readonly links: PeerLinks;
  readonly gossip: GossipTask;
  private readonly drainingDaemons = new Set<string>();

  private constructor(private readonly dependencies: PeerTasksDependencies) {
    this.links = this.createLinks();
    this.gossip = this.createGossip();
  }

  /**
   * Creates the links and the gossip task.
   * @param dependencies - What they depend on.
   */
  static create(dependencies: PeerTasksDependencies): PeerTasks {
    return new PeerTasks(dependencies);
  }

  /**
   * Requests host lists and revisions from daemons by calls, without waiting for gossip messages;
   * used while no configuration is in force.
   */
  bootstrap(): void {
    const known = this.gossip.getRefreshPeers();
    for (const peer of new Set([...known, ...this.links.getSeeds()])) {
      void this.requestHostList(peer);
      void this.requestRevision(peer);
    }
  }

  /**
   * Checks neighbours that became unresponsive. If one's process has ended, the engines that it
   * owned soon get another owner.
   */
  checkUnresponsiveNeighbours(): void {
    for (const daemon of this.gossip.getUnresponsiveNeighbours()) {
      void this.links.isUnreachable(daemon).then((isUnreachable) => {
        if (isUnreachable) {
          this.targets.placement.send({ kind: "peerLost", daemon });
        }
      });
    }
  }

  /** Requests from a few peers the health reports that this daemon missed while it was paused. */
  refresh(): void {
    for (const peer of this.gossip.getRefreshPeers()) {
      void this.links.getHealthReports(peer).then((reports) => {
        for (const report of reports) {
          this.targets.hosts.send({ kind: "peerHealthReport", from: peer, ...report });
        }
      });
    }
  }

  private async requestHostList(peer: string): Promise<void> {
    const list = await this.links.getHosts(peer, this.dependencies.getHostList(-1)?.revision ?? -1);
    if (list !== null) {
      this.dependencies.receiveHostList(list);
    }
  }

  private async requestRevision(peer: string): Promise<void> {
    const announcement = await this.links.getRevisionAnnouncement(peer);
    if (announcement !== undefined) {
      this.targets.configuration.receiveRevisionAnnouncement(announcement);
    }
  }

  private get targets(): PeerTargets {
    return this.dependencies.getTargets();
  }

  private createLinks(): PeerLinks {
    return PeerLinks.create({
      settings: this.dependencies.context.settings,
      startedAt: this.dependencies.context.startedAt,
      getNow: this.dependencies.context.getNow,
      metrics: this.dependencies.context.metrics,
      recorder: this.dependencies.context.recorder,
      getDaemons: () => this.targets.hosts.getView().daemons,
      onPart: (from, part) => {
        this.gossip.receivePart(from, part);
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
      getHosts: ({ after }) => Promise.resolve(this.dependencies.getHostList(after)),
      getRevisionAnnouncement: () =>
        Promise.resolve(this.targets.configuration.getRevisionAnnouncement()),
      getHealthReports: () =>
        Promise.resolve(
          getHealthReports(this.dependencies.context.kernel.getStateOrThrow(membershipPlugin)),
        ),
    };
  }

  private async getConfiguration(revision: Revision): Promise<PeerConfiguration> {
    const text = this.targets.configuration.getText(revision);
    return text === undefined ? null : { gzip: await gzipAsync(text) };
  }

  private createGossip(): GossipTask {
    const { name: daemon, zone } = this.dependencies.context.settings.process;
    return GossipTask.create({
      daemon,
      zone,
      incarnation: this.dependencies.context.incarnation,
      getNow: this.dependencies.context.getNow,
      timeline: this.dependencies.context.timeline,
      getDaemons: () => this.targets.hosts.getView().daemons.values(),
      getHoldings: () =>
        getAdoptedHoldings(this.dependencies.context.kernel.getStateOrThrow(actsPlugin)),
      isDraining: () => this.dependencies.context.getPhase() === "draining",
      getRevisionAnnouncement: () => this.targets.configuration.getRevisionAnnouncement(),
      send: (to, address, parts) => {
        this.links.send(to, address, parts);
      },
      onSending: (topic) => {
        this.dependencies.context.metrics.controlParts.inc({ topic });
      },
      onHeartbeat: (from, heartbeat) => {
        this.handleHeartbeat(from, heartbeat);
      },
      onPlacementMessage: (from, message) => {
        this.targets.placement.send({ kind: "peer", from, message });
      },
      onHealthReports: (from, reports) => {
        for (const report of reports) {
          this.targets.hosts.send({ kind: "peerHealthReport", from, ...report });
        }
      },
      onTeamTotals: (from, totals) => {
        this.targets.admission.send({
          kind: "peerTotals",
          from,
          at: this.dependencies.context.getNow(),
          totals,
        });
      },
      onRevisionAnnouncement: (announcement) => {
        this.targets.configuration.receiveRevisionAnnouncement(announcement);
      },
      takeContentNotices: () => this.targets.quarantine.takeNotices(),
      onContentNotices: (notices) => {
        this.targets.quarantine.receive(notices);
      },
      onMalformed: (from, topic) => {
        this.dependencies.context.metrics.droppedMessages.inc({ reason: "malformed" });
        this.dependencies.context.recorder.record("peer.message-dropped", {
          reason: "malformed",
          from,
          topic,
        });
      },
    });
  }

  private handleHeartbeat(from: DatagramSender, heartbeat: Heartbeat): void {
    const { sender: daemon, incarnation } = from;
    const at = this.dependencies.context.getNow();
    this.targets.hosts.send({ kind: "heartbeat", daemon, zone: heartbeat.zone, incarnation, at });
    if (this.drainingDaemons.has(daemon) !== heartbeat.isDraining) {
      if (heartbeat.isDraining) {
        this.drainingDaemons.add(daemon);
      } else {
        this.drainingDaemons.delete(daemon);
      }
      this.dependencies.onDaemonChanged();
    }
  }
}
