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
import { DigestTask, PeerLinks, type Heartbeat } from "../digests/index.js";
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
export interface PeerTasksDependencies {
  readonly context: Context;
  /** Gets the newest host list that was read, if it is newer than a revision. */
  readonly getHostList: (after: number) => HostList | null;
  /** Takes a host list that a peer had read. */
  readonly receiveHostList: (list: HostList) => void;
  /** A daemon began to stop, or is back. */
  readonly onDaemonChanged: () => void;
  /** Gets the targets; they are created after the wiring. */
  readonly getTargets: () => PeerTargets;
}

const gzipAsync = promisify(gzip);

/** Connects the links and digests between daemons to the tasks of this one. */
export class PeerTasks {
  readonly links: PeerLinks;
  readonly gossip: DigestTask;
  private readonly drainingDaemons = new Set<string>();

  private constructor(private readonly dependencies: PeerTasksDependencies) {
    this.links = this.createLinks();
    this.gossip = this.createGossip();
  }

  /**
   * Creates the links and digests.
   * @param dependencies - What they work with.
   */
  static create(dependencies: PeerTasksDependencies): PeerTasks {
    return new PeerTasks(dependencies);
  }

  /** Asks daemons by calls for what digests would tell, while no configuration is in force. */
  bootstrap(): void {
    const known = this.gossip.getRefreshPeers();
    for (const peer of new Set([...known, ...this.links.getSeeds()])) {
      void this.requestHostList(peer);
      void this.requestRevision(peer);
    }
  }

  /** Asks neighbours that fell silent, so that the engines of an ended one get an owner soon. */
  checkUnresponsiveNeighbours(): void {
    for (const daemon of this.gossip.getSilentNeighbours()) {
      void this.links.isGone(daemon).then((isGone) => {
        if (isGone) {
          this.targets.placement.send({ kind: "peerLost", daemon });
        }
      });
    }
  }

  /** Asks a few peers, after a pause, for what changed meanwhile. */
  refresh(): void {
    for (const peer of this.gossip.getRefreshPeers()) {
      void this.links.getSigns(peer).then((signs) => {
        for (const sign of signs) {
          this.targets.hosts.send({ kind: "peerHealthReport", from: peer, ...sign });
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
    const announcement = await this.links.getRevisionDigest(peer);
    if (announcement !== undefined) {
      this.targets.configuration.takeDigest(announcement);
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
        this.gossip.takePart(from, part);
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
      getRevisionDigest: () => Promise.resolve(this.targets.configuration.getDigest()),
      getSigns: () =>
        Promise.resolve(
          getHealthReports(this.dependencies.context.kernel.getStateOrThrow(membershipPlugin)),
        ),
    };
  }

  private async getConfiguration(revision: Revision): Promise<PeerConfiguration> {
    const text = this.targets.configuration.getText(revision);
    return text === undefined ? null : { gzip: await gzipAsync(text) };
  }

  private createGossip(): DigestTask {
    const { name: daemon, zone } = this.dependencies.context.settings.process;
    return DigestTask.create({
      daemon,
      zone,
      incarnation: this.dependencies.context.incarnation,
      getNow: this.dependencies.context.getNow,
      timeline: this.dependencies.context.timeline,
      getDaemons: () => this.targets.hosts.getView().daemons.values(),
      getHoldings: () =>
        getAdoptedHoldings(this.dependencies.context.kernel.getStateOrThrow(actsPlugin)),
      isDraining: () => this.dependencies.context.getPhase() === "draining",
      getRevisionDigest: () => this.targets.configuration.getDigest(),
      send: (to, address, parts) => {
        this.links.send(to, address, parts);
      },
      onSending: (topic) => {
        this.dependencies.context.metrics.controlParts.inc({ topic });
      },
      takeHeartbeat: (from, heartbeat) => {
        this.handleHeartbeat(from, heartbeat);
      },
      takePlacement: (from, message) => {
        this.targets.placement.send({ kind: "peer", from, message });
      },
      takeSigns: (from, signs) => {
        for (const sign of signs) {
          this.targets.hosts.send({ kind: "peerHealthReport", from, ...sign });
        }
      },
      takeTotals: (from, totals) => {
        this.targets.admission.send({
          kind: "peerTotals",
          from,
          at: this.dependencies.context.getNow(),
          totals,
        });
      },
      takeRevisionDigest: (digest) => {
        this.targets.configuration.takeDigest(digest);
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
