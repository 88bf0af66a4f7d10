import {
  FleetView,
  type PeerHeartbeat,
  type RestingUpstream,
  type UpstreamIncarnation,
} from "@pistachioway/kernel";
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import type { Fields, LogLevel } from "../log/line.js";

const heartbeatPeriodMilliseconds = 400;
/** Peers that one heartbeat is sent to; in a larger fleet the heartbeats go round robin. */
const targetsPerHeartbeat = 8;
const maxAddressesPerHeartbeat = 32;

const datagramSchema = z.object({
  name: z.string(),
  address: z.string(),
  operations: z.string(),
  incarnation: z.number(),
  version: z.number(),
  ageMilliseconds: z.number(),
  running: z.record(z.string(), z.number()),
  sentAt: z.number().default(0),
  leaving: z.array(z.object({ id: z.string(), bornAt: z.number() })).default([]),
  resting: z.array(z.object({ id: z.string(), endsAt: z.number() })).default([]),
  /** Addresses of other daemons, as known to the sender. */
  peers: z.array(z.string()),
});

/** What the task depends on. */
export interface FleetDependencies {
  readonly name: string;
  /** Address and port that this daemon receives datagrams on. */
  readonly address: string;
  /** Address and port of this daemon's listener for operators and peers. */
  readonly operations: string;
  readonly incarnation: number;
  /** Gets the version of this daemon's configuration and the time since it was last confirmed. */
  readonly getConfigurationStatus: () => {
    readonly version: number;
    readonly ageMilliseconds: number;
  };
  readonly seeds: readonly string[];
  readonly getNow: () => number;
  /** Gets the number of this daemon's requests in flight, by id of the upstream. */
  readonly getRunning: () => Readonly<Record<string, number>>;
  /** Gets the incarnations of upstreams that were learned to leave last, newest first. */
  readonly getLeaving: () => readonly UpstreamIncarnation[];
  /** Gets the upstreams that asked this daemon for a rest. */
  readonly getResting: () => readonly RestingUpstream[];
  /** Receives each heartbeat of a peer. */
  readonly onHeartbeat: (heartbeat: PeerHeartbeat) => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Sends heartbeats to the other daemons and receives theirs. */
export class FleetTask {
  readonly view: FleetView;
  private readonly socket: Socket = createSocket("udp4");
  private timer: NodeJS.Timeout | undefined;
  private nextTargetIndex = 0;

  private constructor(private readonly dependencies: FleetDependencies) {
    this.view = FleetView.create(dependencies.address, dependencies.seeds);
    this.socket.on("message", (message) => {
      this.receive(message);
    });
    this.socket.on("error", (error) => {
      this.dependencies.record("warn", "fleet.socket-failed", { detail: error.message });
    });
  }

  /**
   * Creates the task without starting it.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: FleetDependencies): FleetTask {
    return new FleetTask(dependencies);
  }

  /** Binds the socket and starts the heartbeats. */
  start(): void {
    const [host = "", port = ""] = this.dependencies.address.split(":");
    this.socket.bind(Number(port), host, () => {
      this.sendHeartbeats();
    });
    this.timer = setInterval(() => {
      this.sendHeartbeats();
    }, heartbeatPeriodMilliseconds);
  }

  /** Stops the heartbeats and closes the socket. */
  stop(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  private sendHeartbeats(): void {
    const addresses = this.view.getAddresses();
    const { name, address, operations, incarnation } = this.dependencies;
    const text = JSON.stringify({
      name,
      address,
      operations,
      incarnation,
      ...this.dependencies.getConfigurationStatus(),
      running: this.dependencies.getRunning(),
      sentAt: Date.now(),
      leaving: this.dependencies.getLeaving(),
      resting: this.dependencies.getResting(),
      peers: addresses.slice(0, maxAddressesPerHeartbeat),
    });
    const count = Math.min(targetsPerHeartbeat, addresses.length);
    for (let offset = 0; offset < count; offset += 1) {
      const target = addresses[(this.nextTargetIndex + offset) % addresses.length] ?? "";
      this.send(target, text);
    }
    this.nextTargetIndex += count;
  }

  private send(target: string, text: string): void {
    const [host = "", port = ""] = target.split(":");
    this.socket.send(text, Number(port), host, (error) => {
      if (error !== null) {
        this.dependencies.record("debug", "fleet.send-failed", { target, detail: error.message });
      }
    });
  }

  private receive(message: Buffer): void {
    const heartbeat = parseHeartbeat(message);
    if (heartbeat === undefined) {
      this.dependencies.record("warn", "fleet.datagram-refused", { bytes: message.length });
      return;
    }
    this.view.addHeartbeat(heartbeat, this.dependencies.getNow());
    this.dependencies.onHeartbeat(heartbeat);
    heartbeat.peers.forEach((peer) => {
      this.view.addAddress(peer);
    });
  }
}

function parseHeartbeat(
  message: Buffer,
): (PeerHeartbeat & { readonly peers: readonly string[] }) | undefined {
  try {
    return datagramSchema.safeParse(JSON.parse(message.toString("utf8"))).data;
  } catch {
    return undefined;
  }
}
