import type { ClockReading, FleetView } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import { fetchPeerState, type PeerState } from "./peerState.js";

const checkPeriodMilliseconds = 300;

/** What the task works with. */
export interface PeerStateDependencies {
  readonly view: FleetView;
  readonly getClocks: () => ClockReading;
  /** Tells whether the registry itself is out of reach. */
  readonly isRegistryUnreachable: () => boolean;
  readonly getVersion: () => number;
  readonly getAgeMilliseconds: () => number;
  /** Takes what a peer knows; `askedAt` is when the peer was asked. */
  readonly onState: (state: PeerState, askedAt: ClockReading) => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Takes configuration and upstreams from a peer while the registry cannot be read. */
export class PeerStateTask {
  private timer: NodeJS.Timeout | undefined;
  private isRequestPending = false;

  private constructor(private readonly dependencies: PeerStateDependencies) {}

  /**
   * Creates a task that is not started.
   * @param dependencies - What the task works with.
   */
  static create(dependencies: PeerStateDependencies): PeerStateTask {
    return new PeerStateTask(dependencies);
  }

  /** Starts to look whether a peer must be asked. */
  start(): void {
    this.timer = setInterval(() => {
      void this.check();
    }, checkPeriodMilliseconds);
  }

  /** Ends it. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async check(): Promise<void> {
    const {
      view,
      getClocks,
      getVersion,
      getAgeMilliseconds,
      isRegistryUnreachable: isRegistryAway,
    } = this.dependencies;
    if (this.isRequestPending || !isRegistryAway()) {
      return;
    }
    const requestedAt = getClocks();
    const peer = view.getFreshestPeer(requestedAt.monotonic, getVersion());
    if (peer === undefined || peer.ageMilliseconds >= getAgeMilliseconds()) {
      return;
    }
    this.isRequestPending = true;
    try {
      this.dependencies.onState(await fetchPeerState(peer.operations, getVersion()), requestedAt);
      this.dependencies.record("debug", "peer.state-taken", { peer: peer.name });
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      this.dependencies.record("info", "peer.state-failed", { peer: peer.name, detail });
    } finally {
      this.isRequestPending = false;
    }
  }
}
