import type {
  ActTable,
  DaemonIncarnation,
  DaemonView,
  ForwardResult,
  HostList,
  HealthReport,
  Instant,
  Revision,
  RevisionAnnouncement,
} from "@pistachioway/kernel";
import { ActError, maxConfigurationBytes } from "@pistachioway/kernel";
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import type { ActTransport, ForwardedAct, ForwardedAnswer } from "../acts/index.js";
import type { Metrics } from "../metrics/index.js";
import {
  DatagramSocket,
  PeerClient,
  PeerListener,
  PeerLostError,
  PeerUnreachableError,
  type DatagramPart,
  type DatagramSender,
  type DropReason,
  type Peer,
  type PeerHandlers,
  type ReceivedPart,
} from "../peers/index.js";
import type { Settings } from "../settings/index.js";
import type { Recorder } from "../timeline/index.js";

/** What the links depend on. */
export interface PeerLinksDependencies {
  readonly settings: Settings;
  /** Start of this daemon, in milliseconds since the epoch. */
  readonly startedAt: Instant;
  readonly getNow: () => Instant;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  readonly getDaemons: () => ReadonlyMap<string, DaemonView>;
  readonly handlers: PeerHandlers;
  readonly onPart: (from: DatagramSender, part: ReceivedPart) => void;
}

/** Traffic of the datagram socket; bytes include those of the IPv4 and UDP headers. */
export interface LinkCounters {
  readonly sentDatagrams: number;
  readonly sentBytes: number;
  readonly receivedDatagrams: number;
  readonly receivedBytes: number;
}

const reachabilityTimeoutMilliseconds = 300;
const fetchTimeoutMilliseconds = 2_000;
const transferTimeoutMilliseconds = 2_000;
const transferAttempts = 3;
const gunzipAsync = promisify(gunzip);

/** Owns the sockets between daemons: datagrams for gossip, calls for acts and for large values. */
export class PeerLinks implements ActTransport {
  private socket: DatagramSocket | undefined;
  private listener: PeerListener | undefined;
  private readonly client: PeerClient;
  private readonly seeds: ReadonlyMap<string, string>;
  private reportedBytes = { sent: 0, received: 0 };

  private constructor(private readonly dependencies: PeerLinksDependencies) {
    const { settings, startedAt, getNow } = dependencies;
    const { key, seeds } = settings.peers;
    this.seeds = new Map(seeds.map((seed) => seed.split("@") as [string, string]));
    const daemon = settings.process.name;
    this.client = PeerClient.create({ daemon, incarnation: startedAt, key, getNow });
  }

  /**
   * Creates the links without opening a socket; `open` does that.
   * @param dependencies - What the links depend on.
   */
  static create(dependencies: PeerLinksDependencies): PeerLinks {
    return new PeerLinks(dependencies);
  }

  /**
   * Opens the socket for datagrams; it can be tried again when it rejects.
   * @returns Address that the socket is bound to.
   */
  async openDatagrams(): Promise<string> {
    const { settings, startedAt, onPart } = this.dependencies;
    this.socket = await DatagramSocket.create(settings.listeners.datagrams, {
      ...this.getSharedOptions(),
      incarnation: startedAt,
      onPart,
    });
    return this.socket.getAddress();
  }

  /**
   * Opens the listener for calls; it can be tried again when it rejects.
   * @returns Address that the listener is bound to.
   */
  async openCalls(): Promise<string> {
    const { settings, handlers, recorder } = this.dependencies;
    this.listener = await PeerListener.create(settings.listeners.peers, {
      ...this.getSharedOptions(),
      bodyBytes: settings.limits.bodyBytes * 2,
      handlers,
      onError: (error) => {
        const detail = error instanceof Error ? error.message : String(error);
        recorder.record("peer.call-failed", { detail }, "warn");
      },
    });
    return this.listener.getAddress();
  }

  /**
   * Sends gossip messages as parts of datagrams; any of them may be lost.
   * @param to - Name of the daemon.
   * @param address - Its datagram address.
   * @param parts - What to send.
   */
  send(to: string, address: string, parts: readonly DatagramPart[]): void {
    this.socket?.send(to, address, parts);
  }

  /**
   * Submits an act at the daemon that holds its table.
   * @param to - Name of the daemon.
   * @param act - The act.
   */
  async forward(to: string, act: ForwardedAct): Promise<ForwardResult> {
    const peer = this.getPeer(to);
    if (peer === undefined) {
      return { kind: "lost" };
    }
    const answer = await this.client.forwardAct(peer, act, act.call.deadline);
    return answer.isOk ? toForwardResult(answer.value) : { kind: "lost" };
  }

  /**
   * Hands an act table over to its successor. Repeats the call when no answer arrives; the
   * successor adopts the table only once.
   * @param successor - Incarnation that the table is meant for.
   * @param table - Table to hand over.
   */
  async transfer(successor: DaemonIncarnation, table: ActTable): Promise<boolean> {
    const peer = this.getPeer(successor.name);
    for (let attempt = 0; peer !== undefined && attempt < transferAttempts; attempt += 1) {
      const deadline = this.dependencies.getNow() + transferTimeoutMilliseconds;
      const answer = await this.client.adoptActs(peer, { successor, table }, deadline);
      if (answer.isOk) {
        return answer.value.accepted;
      }
    }
    return false;
  }

  /**
   * Gets the text of a configuration from a peer.
   * @param from - Name of the daemon.
   * @param revision - Revision that it announced.
   */
  async getConfiguration(from: string, revision: Revision): Promise<string | undefined> {
    const peer = this.getPeer(from);
    if (peer === undefined) {
      return undefined;
    }
    const deadline = this.dependencies.getNow() + fetchTimeoutMilliseconds;
    const answer = await this.client.getConfiguration(peer, revision, deadline);
    return answer.isOk && answer.value !== null ? await decompress(answer.value.gzip) : undefined;
  }

  /**
   * Gets the host list of a peer, if it is newer.
   * @param from - Name of the daemon.
   * @param after - Revision that is known; -1 for none.
   */
  async getHosts(from: string, after: number): Promise<HostList | null> {
    const peer = this.getPeer(from);
    if (peer === undefined) {
      return null;
    }
    const deadline = this.dependencies.getNow() + fetchTimeoutMilliseconds;
    return (await this.client.getHosts(peer, { after }, deadline)).unwrapOr(null);
  }

  /**
   * Gets what a peer announces of its configuration.
   * @param from - Name of the daemon.
   */
  async getRevisionAnnouncement(from: string): Promise<RevisionAnnouncement | undefined> {
    const peer = this.getPeer(from);
    if (peer === undefined) {
      return undefined;
    }
    const deadline = this.dependencies.getNow() + fetchTimeoutMilliseconds;
    const answer = await this.client.getRevisionAnnouncement(peer, deadline);
    return answer.isOk ? answer.value : undefined;
  }

  /**
   * Checks whether a daemon's listener refuses or breaks connections; a slow answer does not count.
   * @param name - Name of the daemon.
   */
  async isUnreachable(name: string): Promise<boolean> {
    const peer = this.getPeer(name);
    if (peer === undefined) {
      return false;
    }
    const deadline = this.dependencies.getNow() + reachabilityTimeoutMilliseconds;
    const answer = await this.client.getRevisionAnnouncement(peer, deadline);
    return (
      answer.isErr &&
      (answer.error instanceof PeerUnreachableError || answer.error instanceof PeerLostError)
    );
  }

  /** Gets the names of the daemons that the settings name as seeds. */
  getSeeds(): readonly string[] {
    return [...this.seeds.keys()];
  }

  /**
   * Gets all health reports about upstream hosts that a peer holds.
   * @param from - Name of the daemon.
   */
  async getHealthReports(from: string): Promise<readonly HealthReport[]> {
    const peer = this.getPeer(from);
    if (peer === undefined) {
      return [];
    }
    const deadline = this.dependencies.getNow() + fetchTimeoutMilliseconds;
    return (await this.client.getHealthReports(peer, deadline)).unwrapOr([]);
  }

  /** Gets the datagrams and bytes so far, sent and received. */
  getCounters(): LinkCounters {
    const counts = this.socket?.getCounts();
    return {
      sentDatagrams: counts?.sentDatagrams ?? 0,
      sentBytes: counts?.sentBytes ?? 0,
      receivedDatagrams: counts?.receivedDatagrams ?? 0,
      receivedBytes: counts?.receivedBytes ?? 0,
    };
  }

  /** Updates the metrics of the control traffic. */
  updateMetrics(): void {
    const { controlBytes } = this.dependencies.metrics;
    const { sentBytes: sent, receivedBytes: received } = this.getCounters();
    const channel = "datagrams";
    controlBytes.inc({ channel, direction: "sent" }, sent - this.reportedBytes.sent);
    controlBytes.inc({ channel, direction: "received" }, received - this.reportedBytes.received);
    this.reportedBytes = { sent, received };
  }

  /** Closes the sockets. */
  async close(): Promise<void> {
    await this.listener?.close();
    await this.client.close();
    await this.socket?.close();
  }

  /** Until a host list has been read, every daemon that knows the shared key counts as a peer. */
  private isPeer(name: string): boolean {
    const daemons = this.dependencies.getDaemons();
    const isAnyListed = [...daemons.values()].some((daemon) => daemon.isListed);
    return isAnyListed ? daemons.get(name)?.isListed === true : true;
  }

  private getPeer(name: string): Peer | undefined {
    const daemon = this.dependencies.getDaemons().get(name);
    const listed = daemon?.isListed === true ? daemon.peerAddress : undefined;
    const peerAddress = listed ?? this.seeds.get(name);
    return peerAddress === undefined ? undefined : { name, peerAddress };
  }

  private getSharedOptions() {
    const { settings, getNow } = this.dependencies;
    return {
      daemon: settings.process.name,
      key: settings.peers.key,
      getNow,
      isPeer: (name: string) => this.isPeer(name),
      onDropped: (reason: DropReason, from: string) => {
        this.countDropped(reason, from);
      },
    };
  }

  private countDropped(reason: DropReason, from: string): void {
    this.dependencies.metrics.droppedMessages.inc({ reason });
    this.dependencies.recorder.record("peer.message-dropped", { reason, from }, "debug");
  }
}

/** Decompresses a text; undefined when the bytes are malformed or the text is too long. */
async function decompress(gzip: Uint8Array): Promise<string | undefined> {
  try {
    const bytes = await gunzipAsync(gzip, { maxOutputLength: maxConfigurationBytes });
    return bytes.toString("utf8");
  } catch {
    return undefined;
  }
}

function toForwardResult(answer: ForwardedAnswer): ForwardResult {
  switch (answer.kind) {
    case "rejected": {
      const error = new ActError(answer.code, answer.outcome, answer.message);
      return { kind: "rejected", error };
    }
    default:
      return answer;
  }
}
