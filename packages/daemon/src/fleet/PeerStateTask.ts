import type { ClockReading, FleetView } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import { fetchPeerState, type PeerState } from "./peerState.js";

const checkMilliseconds = 300;

/** What the task works with. */
export interface PeerStateParts {
  readonly view: FleetView;
  readonly getClocks: () => ClockReading;
  /** Tells whether the registry itself is out of reach. */
  readonly isRegistryAway: () => boolean;
  readonly getVersion: () => number;
  readonly getAgeMilliseconds: () => number;
  /** Takes what a peer knows; `askedAt` is when the peer was asked. */
  readonly onState: (state: PeerState, askedAt: ClockReading) => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Takes configuration and upstreams from a peer while the registry cannot be read. */
export class PeerStateTask {
  private timer: NodeJS.Timeout | undefined;
  private isAsking = false;

  private constructor(private readonly parts: PeerStateParts) {}

  /**
   * Creates a task that is not started.
   * @param parts - What the task works with.
   */
  static create(parts: PeerStateParts): PeerStateTask {
    return new PeerStateTask(parts);
  }

  /** Starts to look whether a peer must be asked. */
  start(): void {
    this.timer = setInterval(() => {
      void this.check();
    }, checkMilliseconds);
  }

  /** Ends it. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async check(): Promise<void> {
    const { view, getClocks, getVersion, getAgeMilliseconds, isRegistryAway } = this.parts;
    if (this.isAsking || !isRegistryAway()) {
      return;
    }
    const askedAt = getClocks();
    const peer = view.getFreshestPeer(askedAt.monotonic, getVersion());
    if (peer === undefined || peer.ageMilliseconds >= getAgeMilliseconds()) {
      return;
    }
    this.isAsking = true;
    try {
      this.parts.onState(await fetchPeerState(peer.operations, getVersion()), askedAt);
      this.parts.record("debug", "peer.state-taken", { peer: peer.name });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.parts.record("info", "peer.state-failed", { peer: peer.name, detail });
    } finally {
      this.isAsking = false;
    }
  }
}
