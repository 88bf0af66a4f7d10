import { FleetView, type PeerHeartbeat } from "@pistachioway/kernel";
import { createSocket, type Socket } from "node:dgram";
import { z } from "zod";
import type { Fields, LogLevel } from "../log/line.js";

const heartbeatMilliseconds = 400;
/** Peers that one heartbeat goes to; larger fleets take turns. */
const peersPerHeartbeat = 8;
const maxAddressesTold = 32;

const datagramSchema = z.object({
  name: z.string(),
  address: z.string(),
  operations: z.string(),
  incarnation: z.number(),
  version: z.number(),
  ageMilliseconds: z.number(),
  running: z.record(z.string(), z.number()),
  /** Addresses of the daemons that the sender knows. */
  peers: z.array(z.string()),
});

/** What the task works with. */
export interface FleetParts {
  readonly name: string;
  /** Address and port of this daemon's datagrams. */
  readonly address: string;
  /** Address and port of this daemon's pages for operators and peers. */
  readonly operations: string;
  readonly incarnation: number;
  /** Gets the version of this daemon's configuration and the age of its confirmation. */
  readonly getBelief: () => { readonly version: number; readonly ageMilliseconds: number };
  readonly seeds: readonly string[];
  readonly getNow: () => number;
  /** Gets this daemon's requests in flight, by id of the upstream. */
  readonly getRunning: () => Readonly<Record<string, number>>;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Sends heartbeats to the other daemons and hears theirs. */
export class FleetTask {
  readonly view: FleetView;
  private readonly socket: Socket = createSocket("udp4");
  private timer: NodeJS.Timeout | undefined;
  private turn = 0;

  private constructor(private readonly parts: FleetParts) {
    this.view = FleetView.create(parts.address, parts.seeds);
    this.socket.on("message", (message) => {
      this.hear(message);
    });
    this.socket.on("error", (error) => {
      this.parts.record("warn", "fleet.socket-failed", { detail: error.message });
    });
  }

  /**
   * Creates a task that is not started.
   * @param parts - What the task works with.
   */
  static create(parts: FleetParts): FleetTask {
    return new FleetTask(parts);
  }

  /** Binds the socket and starts the heartbeats. */
  start(): void {
    const [host = "", port = ""] = this.parts.address.split(":");
    this.socket.bind(Number(port), host, () => {
      this.beat();
    });
    this.timer = setInterval(() => {
      this.beat();
    }, heartbeatMilliseconds);
  }

  /** Ends the heartbeats. */
  stop(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  private beat(): void {
    const addresses = this.view.getAddresses();
    const { name, address, operations, incarnation, getBelief, getRunning } = this.parts;
    const text = JSON.stringify({
      name,
      address,
      operations,
      incarnation,
      ...getBelief(),
      running: getRunning(),
      peers: addresses.slice(0, maxAddressesTold),
    });
    const count = Math.min(peersPerHeartbeat, addresses.length);
    for (let step = 0; step < count; step += 1) {
      const target = addresses[(this.turn + step) % addresses.length] ?? "";
      this.send(target, text);
    }
    this.turn += count;
  }

  private send(target: string, text: string): void {
    const [host = "", port = ""] = target.split(":");
    this.socket.send(text, Number(port), host, (error) => {
      if (error !== null) {
        this.parts.record("debug", "fleet.send-failed", { target, detail: error.message });
      }
    });
  }

  private hear(message: Buffer): void {
    const heartbeat = parseHeartbeat(message);
    if (heartbeat === undefined) {
      this.parts.record("warn", "fleet.datagram-refused", { bytes: message.length });
      return;
    }
    this.view.addHeartbeat(heartbeat, this.parts.getNow());
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
