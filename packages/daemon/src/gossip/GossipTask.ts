import {
  packPeerMessage,
  packHealthReports,
  parsePeerMessage,
  parseHealthReports,
  type ActPeer,
  type DaemonIncarnation,
  type DaemonView,
  type HealthReport,
  type Instant,
  type PlacementPeerMessage,
  type RevisionAnnouncement,
  type TeamTotal,
  teamTotalSchema,
} from "@pistachioway/kernel";
import { z } from "zod";
import type { DatagramPart, DatagramSender, ReceivedPart } from "../peers/index.js";
import { splitList } from "../peers/index.js";
import type { Timeline } from "../timeline/index.js";
import { getNeighbours, type Neighbour } from "./neighbours.js";
import { packRevisionAnnouncement, parseRevisionAnnouncement } from "./revisionCodec.js";
import { heartbeatSchema, type Heartbeat } from "./schema.js";

/** What the task works with; `take…` functions receive what peers told. */
export interface GossipDependencies {
  readonly daemon: string;
  readonly zone: string;
  /** Incarnation that the keys of this daemon's acts name. */
  readonly incarnation: string;
  readonly getNow: () => Instant;
  readonly timeline: Timeline;
  readonly getDaemons: () => Iterable<DaemonView>;
  readonly getHoldings: () => readonly DaemonIncarnation[];
  readonly isDraining: () => boolean;
  /** Gets what this daemon tells of its configuration. */
  readonly getRevisionAnnouncement: () => RevisionAnnouncement;
  readonly send: (to: string, address: string, parts: readonly DatagramPart[]) => void;
  readonly onSending: (topic: string) => void;
  readonly onHeartbeat: (from: DatagramSender, heartbeat: Heartbeat) => void;
  readonly onPlacementMessage: (from: string, message: PlacementPeerMessage) => void;
  readonly onHealthReports: (from: string, signs: readonly HealthReport[]) => void;
  readonly onTeamTotals: (from: string, totals: readonly TeamTotal[]) => void;
  readonly onRevisionAnnouncement: (digest: RevisionAnnouncement) => void;
  readonly onMalformed: (from: string, topic: string) => void;
}

const heartbeatPeriodMilliseconds = 1_000;
const receiptReportPeriodMilliseconds = 100;
const unresponsiveAfterMilliseconds = 600;
const refreshPeerCount = 2;
const totalsSchema = z.array(teamTotalSchema);

/** Exchanges digests with the neighbours: heartbeats, placement, signs, totals, revisions. */
export class GossipTask {
  private readonly heartbeats = new Map<string, Heartbeat>();
  private readonly pending = new Map<string, DatagramPart[]>();
  private totals: readonly TeamTotal[] = [];
  private hasSentTotals = false;
  private readonly lastReceivedAt = new Map<string, Instant>();
  private neighbours: readonly Neighbour[] = [];
  private nextHeartbeatAt: Instant = 0;
  private isFlushScheduled = false;

  private constructor(private readonly dependencies: GossipDependencies) {}

  /**
   * Creates the task.
   * @param dependencies - What the task works with.
   */
  static create(dependencies: GossipDependencies): GossipTask {
    return new GossipTask(dependencies);
  }

  /** Takes the daemons as this one sees them now. */
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
    this.sendTotals();
  }

  /** Sends the totals of large teams, and an empty list once when there are none any more. */
  private sendTotals(): void {
    if (this.totals.length > 0 || this.hasSentTotals) {
      this.broadcast({ topic: "teamTotals", value: this.totals, split: splitList });
      this.hasSentTotals = this.totals.length > 0;
      this.totals = [];
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
   * Sends signs about upstream hosts to every neighbour.
   * @param reports - Signs of the membership plug-in.
   */
  sendHealthReports(reports: readonly HealthReport[]): void {
    this.broadcast({ topic: "signs", value: packHealthReports(reports) });
  }

  /**
   * Keeps the totals of large teams for the next heartbeat.
   * @param totals - Totals of the admission plug-in.
   */
  setTeamTotals(totals: readonly TeamTotal[]): void {
    this.totals = totals;
  }

  /**
   * Takes a part of a datagram.
   * @param from - Daemon that sent it.
   * @param part - Part of the datagram.
   */
  receivePart(from: DatagramSender, part: ReceivedPart): void {
    const { sender } = from;
    this.recordReceipt(from);
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
        this.receiveValidated(totalsSchema, sender, part, (totals) => {
          this.dependencies.onTeamTotals(sender, totals);
        });
        return;
      case "configuration":
        this.receiveRevisionAnnouncement(sender, part);
        return;
      case "holdings":
        this.dependencies.onMalformed(sender, part.topic);
    }
  }

  /** Every datagram shows that its sender lives, not only a heartbeat, which may be lost. */
  private recordReceipt(from: DatagramSender): void {
    const now = this.dependencies.getNow();
    const heartbeat = this.heartbeats.get(from.sender);
    const isDue =
      now >= (this.lastReceivedAt.get(from.sender) ?? 0) + receiptReportPeriodMilliseconds;
    if (heartbeat !== undefined && isDue) {
      this.lastReceivedAt.set(from.sender, now);
      this.dependencies.onHeartbeat(from, heartbeat);
    }
  }

  /** Gets the listed daemons with the tables that they announce, for the acts plug-in. */
  getActPeers(): readonly ActPeer[] {
    const listed = [...this.dependencies.getDaemons()].filter((daemon) => daemon.isListed);
    return listed
      .filter(({ name }) => name !== this.dependencies.daemon)
      .map(({ name }) => ({ name, holdings: this.heartbeats.get(name)?.holdings }));
  }

  /** Gets the live neighbour that takes this daemon's tables on a planned stop. */
  getSuccessor(): DaemonIncarnation | undefined {
    const live = this.neighbours.filter(({ name }) => this.isAvailable(name));
    const ofZone = live.filter(({ zone }) => zone === this.dependencies.zone);
    const [first] = ofZone.length > 0 ? ofZone : live;
    const incarnation = this.heartbeats.get(first?.name ?? "")?.incarnation;
    return first === undefined || incarnation === undefined
      ? undefined
      : { name: first.name, incarnation };
  }

  /** Gets the names of the daemons that digests are exchanged with. */
  getNeighbourNames(): readonly string[] {
    return this.neighbours.map(({ name }) => name);
  }

  /** Gets the neighbours that sent nothing for longer than several digests take. */
  getUnresponsiveNeighbours(): readonly string[] {
    const receivedAfter = this.dependencies.getNow() - unresponsiveAfterMilliseconds;
    return this.getNeighbourNames().filter((name) => {
      const lastReceivedAt = this.lastReceivedAt.get(name);
      return lastReceivedAt !== undefined && lastReceivedAt < receivedAfter;
    });
  }

  /** Gets a few neighbours to ask for their signs. */
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
   * Tells whether a daemon said that it is stopping.
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

  /** Collects the parts for one daemon until the current task is over, to share a datagram. */
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
    for (const [name, parts] of this.pending) {
      const address = addresses.get(name);
      if (address !== undefined) {
        this.dependencies.send(name, address, parts);
      }
    }
    this.pending.clear();
  }
}
