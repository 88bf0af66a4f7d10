import {
  packPeerMessage,
  packSigns,
  parsePeerMessage,
  parseSigns,
  type ActPeer,
  type DaemonIncarnation,
  type DaemonView,
  type HostSign,
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
import { packRevisionDigest, parseRevisionDigest } from "./revisionCodec.js";
import { heartbeatSchema, type Heartbeat } from "./schema.js";

/** What the task works with; `take…` functions receive what peers told. */
export interface DigestParts {
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
  readonly getRevisionDigest: () => RevisionAnnouncement;
  readonly send: (to: string, address: string, parts: readonly DatagramPart[]) => void;
  readonly onSending: (topic: string) => void;
  readonly takeHeartbeat: (from: DatagramSender, heartbeat: Heartbeat) => void;
  readonly takePlacement: (from: string, message: PlacementPeerMessage) => void;
  readonly takeSigns: (from: string, signs: readonly HostSign[]) => void;
  readonly takeTotals: (from: string, totals: readonly TeamTotal[]) => void;
  readonly takeRevisionDigest: (digest: RevisionAnnouncement) => void;
  readonly onMalformed: (from: string, topic: string) => void;
}

const heartbeatPeriodMilliseconds = 1_000;
const heardPeriodMilliseconds = 100;
const silentMilliseconds = 600;
const refreshPeers = 2;
const totalsSchema = z.array(teamTotalSchema);

/** Exchanges digests with the neighbours: heartbeats, placement, signs, totals, revisions. */
export class DigestTask {
  private readonly heartbeats = new Map<string, Heartbeat>();
  private readonly pending = new Map<string, DatagramPart[]>();
  private totals: readonly TeamTotal[] = [];
  private hasSentTotals = false;
  private readonly heardAt = new Map<string, Instant>();
  private neighbours: readonly Neighbour[] = [];
  private nextHeartbeatAt: Instant = 0;
  private isFlushPlanned = false;

  private constructor(private readonly parts: DigestParts) {}

  /**
   * Creates the task.
   * @param parts - What the task works with.
   */
  static create(parts: DigestParts): DigestTask {
    return new DigestTask(parts);
  }

  /** Takes the daemons as this one sees them now. */
  updateNeighbours(): void {
    const { daemon, zone } = this.parts;
    this.neighbours = getNeighbours(this.parts.getDaemons(), daemon, zone);
  }

  /** Sends heartbeats when they are due. */
  tick(): void {
    const now = this.parts.getNow();
    if (now < this.nextHeartbeatAt) {
      return;
    }
    this.nextHeartbeatAt = now + heartbeatPeriodMilliseconds;
    this.sendHeartbeats();
  }

  /** Sends a heartbeat to every neighbour at once. */
  sendHeartbeats(): void {
    const heartbeat: Heartbeat = {
      zone: this.parts.zone,
      incarnation: this.parts.incarnation,
      isDraining: this.parts.isDraining(),
      holdings: [...this.parts.getHoldings()],
      clock: this.parts.timeline.getClock(),
    };
    this.broadcast({ topic: "heartbeat", value: heartbeat });
    const digest = packRevisionDigest(this.parts.getRevisionDigest());
    this.broadcast({ topic: "configuration", value: digest });
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
   * @param signs - Signs of the membership plug-in.
   */
  sendSigns(signs: readonly HostSign[]): void {
    this.broadcast({ topic: "signs", value: packSigns(signs) });
  }

  /**
   * Keeps the totals of large teams for the next heartbeat.
   * @param totals - Totals of the admission plug-in.
   */
  setTotals(totals: readonly TeamTotal[]): void {
    this.totals = totals;
  }

  /**
   * Takes a part of a datagram.
   * @param from - Daemon that sent it.
   * @param part - Part of the datagram.
   */
  takePart(from: DatagramSender, part: ReceivedPart): void {
    const { sender } = from;
    this.noteHeard(from);
    switch (part.topic) {
      case "heartbeat":
        this.takeChecked(heartbeatSchema, sender, part, (heartbeat) => {
          this.takeHeartbeat(from, heartbeat);
        });
        return;
      case "placement":
        this.takePlacement(sender, part);
        return;
      case "signs":
        this.parts.takeSigns(sender, parseSigns(part.value));
        return;
      case "teamTotals":
        this.takeChecked(totalsSchema, sender, part, (totals) => {
          this.parts.takeTotals(sender, totals);
        });
        return;
      case "configuration":
        this.takeRevisionDigest(sender, part);
        return;
      case "holdings":
        this.parts.onMalformed(sender, part.topic);
    }
  }

  /** Every datagram shows that its sender lives, not only a heartbeat, which may be lost. */
  private noteHeard(from: DatagramSender): void {
    const now = this.parts.getNow();
    const heartbeat = this.heartbeats.get(from.sender);
    const isDue = now >= (this.heardAt.get(from.sender) ?? 0) + heardPeriodMilliseconds;
    if (heartbeat !== undefined && isDue) {
      this.heardAt.set(from.sender, now);
      this.parts.takeHeartbeat(from, heartbeat);
    }
  }

  /** Gets the listed daemons with the tables that they announce, for the acts plug-in. */
  getActPeers(): readonly ActPeer[] {
    const listed = [...this.parts.getDaemons()].filter((daemon) => daemon.isListed);
    return listed
      .filter(({ name }) => name !== this.parts.daemon)
      .map(({ name }) => ({ name, holdings: this.heartbeats.get(name)?.holdings }));
  }

  /** Gets the live neighbour that takes this daemon's tables on a planned stop. */
  getSuccessor(): DaemonIncarnation | undefined {
    const live = this.neighbours.filter(({ name }) => this.isAlive(name));
    const ofZone = live.filter(({ zone }) => zone === this.parts.zone);
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
  getSilentNeighbours(): readonly string[] {
    const silentSince = this.parts.getNow() - silentMilliseconds;
    return this.getNeighbourNames().filter((name) => {
      const heardAt = this.heardAt.get(name);
      return heardAt !== undefined && heardAt < silentSince;
    });
  }

  /** Gets a few neighbours to ask for their signs. */
  getRefreshPeers(): readonly string[] {
    return this.neighbours.slice(0, refreshPeers).map(({ name }) => name);
  }

  private isAlive(name: string): boolean {
    const daemon = [...this.parts.getDaemons()].find((item) => item.name === name);
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

  private takeHeartbeat(from: DatagramSender, heartbeat: Heartbeat): void {
    this.heartbeats.set(from.sender, heartbeat);
    this.parts.timeline.observe(heartbeat.clock.at, heartbeat.clock.logical);
    this.parts.takeHeartbeat(from, heartbeat);
  }

  private takePlacement(sender: string, part: ReceivedPart): void {
    parsePeerMessage(part.value).match({
      Ok: (message) => {
        this.parts.takePlacement(sender, message);
      },
      Err: () => {
        this.parts.onMalformed(sender, part.topic);
      },
    });
  }

  private takeRevisionDigest(sender: string, part: ReceivedPart): void {
    const zone = this.heartbeats.get(sender)?.zone;
    const digest = parseRevisionDigest(sender, zone ?? "", part.value);
    if (digest !== undefined) {
      this.parts.takeRevisionDigest(digest);
    } else if (zone !== undefined) {
      this.parts.onMalformed(sender, part.topic);
    }
  }

  private takeChecked<Value>(
    schema: z.ZodType<Value>,
    sender: string,
    part: ReceivedPart,
    take: (value: Value) => void,
  ): void {
    const checked = schema.safeParse(part.value);
    if (checked.success) {
      take(checked.data);
      return;
    }
    this.parts.onMalformed(sender, part.topic);
  }

  private broadcast(part: DatagramPart): void {
    for (const { name } of this.neighbours) {
      this.addPart(name, part);
    }
  }

  /** Collects the parts for one daemon until the current task is over, to share a datagram. */
  private addPart(to: string, part: DatagramPart): void {
    this.parts.onSending(part.topic);
    const parts = this.pending.get(to) ?? [];
    parts.push(part);
    this.pending.set(to, parts);
    if (!this.isFlushPlanned) {
      this.isFlushPlanned = true;
      setImmediate(() => {
        this.flush();
      });
    }
  }

  private flush(): void {
    this.isFlushPlanned = false;
    const addresses = new Map(this.neighbours.map((item) => [item.name, item.datagramAddress]));
    for (const [name, parts] of this.pending) {
      const address = addresses.get(name);
      if (address !== undefined) {
        this.parts.send(name, address, parts);
      }
    }
    this.pending.clear();
  }
}
