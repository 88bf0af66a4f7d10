import type { Instant } from "@pistachioway/kernel";
import { createSocket, type RemoteInfo, type Socket } from "node:dgram";
import { once } from "node:events";
import { DatagramCodec, type Envelope, type ReceivedPart } from "./DatagramCodec.js";
import { createDropCounts, type DropCounts, type DropReason } from "./drops.js";
import { groupParts } from "./groupParts.js";
import { ReplayWindow } from "./ReplayWindow.js";
import type { DatagramPart } from "./topics.js";

/** Largest age of an accepted datagram, and largest time that its sender's clock may be ahead. */
export const maxDatagramAgeMilliseconds = 5_000;

/** Size of the IPv4 and UDP headers of a datagram. */
export const headerBytes = 28;

/** What the socket depends on. */
export interface DatagramSocketDependencies {
  /** Name of this daemon. */
  readonly daemon: string;
  /** Start of this daemon, in milliseconds since the epoch. */
  readonly incarnation: number;
  /** Key that all daemons share. */
  readonly key: string;
  readonly getNow: () => Instant;
  /** Checks whether a daemon is on the host list. */
  readonly isPeer: (name: string) => boolean;
  readonly onPart: (from: DatagramSender, part: ReceivedPart) => void;
  readonly onDropped: (reason: DropReason, from: string) => void;
}

/** Sender of a datagram, and the time of sending. */
export type DatagramSender = Pick<Envelope, "sender" | "incarnation" | "at">;

/** Traffic so far; bytes include those of the IPv4 and UDP headers. */
export interface DatagramCounts {
  sentDatagrams: number;
  sentBytes: number;
  receivedDatagrams: number;
  receivedBytes: number;
  /** Datagrams that the operating system did not send, and other errors of the socket. */
  sendFailures: number;
  readonly dropped: DropCounts;
}

/** Owns the UDP socket for the gossip messages between daemons. */
export class DatagramSocket {
  private readonly codec: DatagramCodec;
  private readonly window = ReplayWindow.create();
  private readonly counts: DatagramCounts = {
    sentDatagrams: 0,
    sentBytes: 0,
    receivedDatagrams: 0,
    receivedBytes: 0,
    sendFailures: 0,
    dropped: createDropCounts(),
  };
  private sequence = 0;

  private constructor(
    private readonly dependencies: DatagramSocketDependencies,
    private readonly socket: Socket,
  ) {
    this.codec = DatagramCodec.create(dependencies.key);
    socket.on("message", (datagram, remote) => {
      this.receive(datagram, remote);
    });
    socket.on("error", () => {
      this.counts.sendFailures += 1;
    });
  }

  /**
   * Opens the socket.
   * @param address - IPv4 address and port to listen on; port 0 takes a free one.
   * @param dependencies - What the socket depends on.
   */
  static async create(
    address: string,
    dependencies: DatagramSocketDependencies,
  ): Promise<DatagramSocket> {
    const socket = createSocket("udp4");
    const { host, port } = parseAddress(address);
    socket.bind(port, host);
    await once(socket, "listening");
    return new DatagramSocket(dependencies, socket);
  }

  /** Gets the address that the socket listens on. */
  getAddress(): string {
    const { address, port } = this.socket.address();
    return `${address}:${String(port)}`;
  }

  /** Gets the traffic so far. */
  getCounts(): Readonly<DatagramCounts> {
    return this.counts;
  }

  /**
   * Sends parts to a peer, grouped into few datagrams; any datagram may be lost.
   * @param to - Name of the peer.
   * @param address - Datagram address of the peer.
   * @param parts - What to send.
   */
  send(to: string, address: string, parts: readonly DatagramPart[]): void {
    for (const group of groupParts(parts)) {
      const datagram = this.encode(to, group);
      this.counts.sentDatagrams += 1;
      this.counts.sentBytes += datagram.length + headerBytes;
      this.sendDatagram(datagram, address);
    }
  }

  /** Closes the socket. */
  async close(): Promise<void> {
    const closed = once(this.socket, "close");
    this.socket.close();
    await closed;
  }

  /** Sends a datagram; an address that cannot be, which the platform may list, counts as a failure. */
  private sendDatagram(datagram: Buffer, address: string): void {
    const { host, port } = parseAddress(address);
    try {
      this.socket.send(datagram, port, host, (error) => {
        this.counts.sendFailures += error === null ? 0 : 1;
      });
    } catch {
      this.counts.sendFailures += 1;
    }
  }

  private encode(to: string, parts: readonly DatagramPart[]): Buffer {
    this.sequence += 1;
    const { daemon: sender, incarnation } = this.dependencies;
    const envelope = {
      sender,
      incarnation,
      sequence: this.sequence,
      at: this.dependencies.getNow(),
    };
    return this.codec.encode(to, envelope, parts);
  }

  private receive(datagram: Buffer, remote: RemoteInfo): void {
    this.counts.receivedDatagrams += 1;
    this.counts.receivedBytes += datagram.length + headerBytes;
    const from = `${remote.address}:${String(remote.port)}`;
    this.codec.decode(this.dependencies.daemon, datagram).match({
      Ok: (envelope) => {
        this.receiveEnvelope(envelope, from);
      },
      Err: (reason) => {
        this.drop(reason, from);
      },
    });
  }

  private receiveEnvelope(envelope: Envelope, from: string): void {
    const reason = this.findDropReason(envelope);
    if (reason !== undefined) {
      this.drop(reason, from);
      return;
    }
    const { sender, incarnation, at } = envelope;
    for (const part of envelope.parts) {
      this.dependencies.onPart({ sender, incarnation, at }, part);
    }
  }

  private findDropReason(envelope: Envelope): DropReason | undefined {
    const { sender, incarnation, sequence, at } = envelope;
    if (!this.dependencies.isPeer(sender)) {
      return "unlisted";
    }
    if (Math.abs(this.dependencies.getNow() - at) > maxDatagramAgeMilliseconds) {
      return "old";
    }
    return this.window.add(sender, incarnation, sequence) ? undefined : "replayed";
  }

  private drop(reason: DropReason, from: string): void {
    this.counts.dropped[reason] += 1;
    this.dependencies.onDropped(reason, from);
  }
}

function parseAddress(address: string): { host: string; port: number } {
  const [host = "127.0.0.1", port = "0"] = address.split(":");
  return { host, port: Number(port) };
}
