import {
  packPeerMessage,
  packHealthReports,
  parsePeerMessage,
  parseHealthReports,
  type ActPeer,
  type DaemonIncarnation,
  type DaemonView,
  type FleetNotice,
  type HealthReport,
  type Instant,
  type PlacementPeerMessage,
  type RevisionAnnouncement,
  type TeamTotal,
  teamTotalSchema,
} from "@pistachioway/kernel";
import { z } from "zod";
import { decodeNotices, encodeNotices } from "../fleet/index.js";
import type { DatagramPart, DatagramSender, ReceivedPart } from "../peers/index.js";
import { splitList } from "../peers/index.js";
import type { Timeline } from "../timeline/index.js";
import { getNeighbours, type Neighbour } from "./neighbours.js";
import { packRevisionAnnouncement, parseRevisionAnnouncement } from "./revisionCodec.js";
import { heartbeatSchema, type Heartbeat } from "./schema.js";

/** What the task depends on; the `on…` functions receive what the peers sent. */
export interface GossipDependencies {
  readonly daemon: string;
  readonly zone: string;
  /** Incarnation that the act keys of this daemon contain. */
  readonly incarnation: string;
  readonly getNow: () => Instant;
  readonly timeline: Timeline;
  readonly getDaemons: () => Iterable<DaemonView>;
  readonly getHoldings: () => readonly DaemonIncarnation[];
  readonly isDraining: () => boolean;
  /** Gets what this daemon announces of its configuration. */
  readonly getRevisionAnnouncement: () => RevisionAnnouncement;
  readonly send: (to: string, address: string, parts: readonly DatagramPart[]) => void;
  readonly onSending: (topic: string) => void;
  readonly onHeartbeat: (from: DatagramSender, heartbeat: Heartbeat) => void;
  readonly onPlacementMessage: (from: string, message: PlacementPeerMessage) => void;
  readonly onHealthReports: (from: string, reports: readonly HealthReport[]) => void;
  readonly onTeamTotals: (from: string, totals: readonly TeamTotal[]) => void;
  readonly onRevisionAnnouncement: (announcement: RevisionAnnouncement) => void;
  /** Takes what this daemon tells of chats that crash engines. */
  readonly takeContentNotices: () => readonly FleetNotice[];
  readonly onContentNotices: (notices: readonly FleetNotice[]) => void;
  readonly onMalformed: (from: string, topic: string) => void;
}

const heartbeatPeriodMilliseconds = 1_000;
const reachableReportPeriodMilliseconds = 100;
const unresponsiveAfterMilliseconds = 600;
const refreshPeerCount = 2;
const teamTotalsSchema = z.array(teamTotalSchema);

/**
 * Exchanges gossip messages with the neighbours: heartbeats, placement messages, health reports,
 * team totals and revision announcements.
 */
export class GossipTask {
  private readonly heartbeats = new Map<string, Heartbeat>();
  private readonly pending = new Map<string, DatagramPart[]>();
  private teamTotals: readonly TeamTotal[] = [];
  private hasSentTeamTotals = false;
  private readonly lastReceivedAt = new Map<string, Instant>();
  private neighbours: readonly Neighbour[] = [];
  private nextHeartbeatAt: Instant = 0;
  private isFlushScheduled = false;

  private constructor(private readonly dependencies: GossipDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: GossipDependencies): GossipTask {
    return new GossipTask(dependencies);
  }

  /** Recomputes the neighbours from the daemons that are known now. */
  updateNeighbours(): void {
    const { daemon, zone } = this.dependencies;
    this.neighbours = getNeighbours(this.dependencies.getDaemons(), daemon, zone);
  }

  /** Sends heartbeats when they are due. */
  tick(): void {
    const now = this.dependencies.getNow();
    if (now < this.nextHeartbeatAt) {
      return;
    }
    this.nextHeartbeatAt = now + heartbeatPeriodMilliseconds;
    this.sendHeartbeats();
  }

  /** Sends a heartbeat to every neighbour at once. */
  sendHeartbeats(): void {
    const heartbeat: Heartbeat = {
      zone: this.dependencies.zone,
      incarnation: this.dependencies.incarnation,
      isDraining: this.dependencies.isDraining(),
      holdings: [...this.dependencies.getHoldings()],
      clock: this.dependencies.timeline.getClock(),
    };
    this.broadcast({ topic: "heartbeat", value: heartbeat });
    const announcement = packRevisionAnnouncement(this.dependencies.getRevisionAnnouncement());
    this.broadcast({ topic: "configuration", value: announcement });
    this.sendTeamTotals();
    this.sendContentNotices();
  }

  /** Sends what is known of chats that crash engines to every neighbour. */
  sendContentNotices(): void {
    const notices = this.dependencies.takeContentNotices();
    if (notices.length > 0) {
      const value = encodeNotices(notices, this.dependencies.getNow());
      this.broadcast({ topic: "prompts", value, split: splitList });
    }
  }

  /** Sends the totals of large teams, and one empty list after the last of them. */
  private sendTeamTotals(): void {
    if (this.teamTotals.length > 0 || this.hasSentTeamTotals) {
      this.broadcast({ topic: "teamTotals", value: this.teamTotals, split: splitList });
      this.hasSentTeamTotals = this.teamTotals.length > 0;
      this.teamTotals = [];
    }
  }

  /**
   * Sends a placement message to one daemon.
   * @param to - Name of the daemon.
   * @param message - Message of the placement plug-in.
   */
  sendPlacement(to: string, message: PlacementPeerMessage): void {
    this.addPart(to, { topic: "placement", value: packPeerMessage(message) });
  }

  /**
   * Sends health reports about upstream hosts to every neighbour.
   * @param reports - Health reports of the membership plug-in.
   */
  sendHealthReports(reports: readonly HealthReport[]): void {
    this.broadcast({ topic: "signs", value: packHealthReports(reports) });
  }

  /**
   * Sets the totals of large teams that the next heartbeat carries.
   * @param totals - Totals of the admission plug-in.
   */
  setTeamTotals(totals: readonly TeamTotal[]): void {
    this.teamTotals = totals;
  }

  /**
   * Handles a part of a received datagram.
   * @param from - Daemon that sent it.
   * @param part - Part of the datagram.
   */
  receivePart(from: DatagramSender, part: ReceivedPart): void {
    const { sender } = from;
    this.reportSenderReachable(from);
    switch (part.topic) {
      case "heartbeat":
        this.receiveValidated(heartbeatSchema, sender, part, (heartbeat) => {
          this.receiveHeartbeat(from, heartbeat);
        });
        return;
      case "placement":
        this.receivePlacementMessage(sender, part);
        return;
      case "signs":
        this.dependencies.onHealthReports(sender, parseHealthReports(part.value));
        return;
      case "teamTotals":
        this.receiveValidated(teamTotalsSchema, sender, part, (totals) => {
          this.dependencies.onTeamTotals(sender, totals);
        });
        return;
      case "configuration":
        this.receiveRevisionAnnouncement(sender, part);
        return;
      case "prompts":
        this.receiveContentNotices(sender, part);
        return;
      case "holdings":
        this.dependencies.onMalformed(sender, part.topic);
    }
  }

  /**
   * Reports the sender as reachable: every datagram proves that, not only a heartbeat, which may be
   * lost. Calls `onHeartbeat` again with the last heartbeat, at most once in a period.
   */
  private reportSenderReachable(from: DatagramSender): void {
    const now = this.dependencies.getNow();
    const heartbeat = this.heartbeats.get(from.sender);
    const isDue =
      now >= (this.lastReceivedAt.get(from.sender) ?? 0) + reachableReportPeriodMilliseconds;
    if (heartbeat !== undefined && isDue) {
      this.lastReceivedAt.set(from.sender, now);
      this.dependencies.onHeartbeat(from, heartbeat);
    }
  }

  /** Gets the listed daemons with the act tables that they announce, for the acts plug-in. */
  getActPeers(): readonly ActPeer[] {
    const listed = [...this.dependencies.getDaemons()].filter((daemon) => daemon.isListed);
    return listed
      .filter(({ name }) => name !== this.dependencies.daemon)
      .map(({ name }) => ({ name, holdings: this.heartbeats.get(name)?.holdings }));
  }

  /** Gets the live neighbour that adopts this daemon's act tables on a planned stop. */
  getSuccessor(): DaemonIncarnation | undefined {
    const live = this.neighbours.filter(({ name }) => this.isAvailable(name));
    const liveInZone = live.filter(({ zone }) => zone === this.dependencies.zone);
    const [first] = liveInZone.length > 0 ? liveInZone : live;
    const incarnation = this.heartbeats.get(first?.name ?? "")?.incarnation;
    return first === undefined || incarnation === undefined
      ? undefined
      : { name: first.name, incarnation };
  }

  /** Gets the names of the daemons that gossip messages are exchanged with. */
  getNeighbourNames(): readonly string[] {
    return this.neighbours.map(({ name }) => name);
  }

  /** Gets the neighbours that sent nothing for longer than several gossip intervals. */
  getUnresponsiveNeighbours(): readonly string[] {
    const thresholdAt = this.dependencies.getNow() - unresponsiveAfterMilliseconds;
    return this.getNeighbourNames().filter((name) => {
      const lastReceivedAt = this.lastReceivedAt.get(name);
      return lastReceivedAt !== undefined && lastReceivedAt < thresholdAt;
    });
  }

  /** Gets a few neighbours to request health reports from. */
  getRefreshPeers(): readonly string[] {
    return this.neighbours.slice(0, refreshPeerCount).map(({ name }) => name);
  }

  private isAvailable(name: string): boolean {
    const daemon = [...this.dependencies.getDaemons()].find((item) => item.name === name);
    const heartbeat = this.heartbeats.get(name);
    const isLive = daemon?.state === "live" && !daemon.isLeaving;
    return isLive && heartbeat?.isDraining === false;
  }

  /**
   * Checks whether a daemon announced that it is stopping.
   * @param name - Name of the daemon.
   */
  isDraining(name: string): boolean {
    return this.heartbeats.get(name)?.isDraining === true;
  }

  private receiveHeartbeat(from: DatagramSender, heartbeat: Heartbeat): void {
    this.heartbeats.set(from.sender, heartbeat);
    this.dependencies.timeline.observe(heartbeat.clock.at, heartbeat.clock.logical);
    this.dependencies.onHeartbeat(from, heartbeat);
  }

  private receivePlacementMessage(sender: string, part: ReceivedPart): void {
    parsePeerMessage(part.value).match({
      Ok: (message) => {
        this.dependencies.onPlacementMessage(sender, message);
      },
      Err: () => {
        this.dependencies.onMalformed(sender, part.topic);
      },
    });
  }

  private receiveContentNotices(sender: string, part: ReceivedPart): void {
    const notices = decodeNotices(part.value, this.dependencies.getNow());
    if (notices === undefined) {
      this.dependencies.onMalformed(sender, part.topic);
    } else {
      this.dependencies.onContentNotices(notices);
    }
  }

  private receiveRevisionAnnouncement(sender: string, part: ReceivedPart): void {
    const zone = this.heartbeats.get(sender)?.zone;
    const announcement = parseRevisionAnnouncement(sender, zone ?? "", part.value);
    if (announcement !== undefined) {
      this.dependencies.onRevisionAnnouncement(announcement);
    } else if (zone !== undefined) {
      this.dependencies.onMalformed(sender, part.topic);
    }
  }

  private receiveValidated<Value>(
    schema: z.ZodType<Value>,
    sender: string,
    part: ReceivedPart,
    handle: (value: Value) => void,
  ): void {
    const parsed = schema.safeParse(part.value);
    if (parsed.success) {
      handle(parsed.data);
      return;
    }
    this.dependencies.onMalformed(sender, part.topic);
  }

  private broadcast(part: DatagramPart): void {
    for (const { name } of this.neighbours) {
      this.addPart(name, part);
    }
  }

  /** Collects the parts for a daemon until `setImmediate` fires, so that they share datagrams. */
  private addPart(to: string, part: DatagramPart): void {
    this.dependencies.onSending(part.topic);
    const parts = this.pending.get(to) ?? [];
    parts.push(part);
    this.pending.set(to, parts);
    if (!this.isFlushScheduled) {
      this.isFlushScheduled = true;
      setImmediate(() => {
        this.flush();
      });
    }
  }

  private flush(): void {
    this.isFlushScheduled = false;
    const addresses = new Map(this.neighbours.map((item) => [item.name, item.datagramAddress]));
    const pending = [...this.pending];
    this.pending.clear();
    for (const [name, parts] of pending) {
      const address = addresses.get(name);
      if (address !== undefined) {
        this.dependencies.send(name, address, parts);
      }
    }
  }
}
