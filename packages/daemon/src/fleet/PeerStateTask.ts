import type { ClockReading, FleetView, MemberState } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import { fetchPeerState, type PeerState } from "./peerState.js";

/** What the task depends on. */
export interface PeerStateDependencies {
  readonly view: FleetView;
  readonly getClocks: () => ClockReading;
  /** Gets a random number in [0, 1). */
  readonly getRandom: () => number;
  /** Checks whether the registry cannot be read. */
  readonly isRegistryUnreachable: () => boolean;
  /** Checks whether the registry was restored from a copy and may lack the newest configuration. */
  readonly isRegistryRestoring: () => boolean;
  readonly getVersion: () => number;
  readonly getAgeMilliseconds: () => number;
  /** Receives the state of a peer; `requestedAt` is the time of the request. */
  readonly onState: (state: PeerState, requestedAt: ClockReading) => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/** Gets configuration and upstreams from a peer while the registry cannot be read or may lack writes. */
export class PeerStateTask {
  private isRequestPending = false;

  private constructor(private readonly dependencies: PeerStateDependencies) {}

  /**
   * Creates a task that has asked no peer.
   * @param dependencies - What the task depends on.
   */
  static create(dependencies: PeerStateDependencies): PeerStateTask {
    return new PeerStateTask(dependencies);
  }

  /** Asks a peer for its state if that is needed; called a few times a second. */
  async check(): Promise<void> {
    if (this.isRequestPending) {
      return;
    }
    const { getClocks, getVersion } = this.dependencies;
    const requestedAt = getClocks();
    const peer = this.findPeer(requestedAt.monotonic);
    if (peer === undefined) {
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

  /** Finds a peer that knows more than this daemon and the registry; undefined when none is needed. */
  private findPeer(now: number): MemberState | undefined {
    const { view, getVersion, getAgeMilliseconds, getRandom } = this.dependencies;
    const isRestoring = this.dependencies.isRegistryRestoring();
    const newest = view.getNewestPeer(now, getVersion(), getRandom());
    if (isRestoring && newest !== undefined) {
      return newest;
    }
    if (!isRestoring && !this.dependencies.isRegistryUnreachable()) {
      return undefined;
    }
    const freshest = view.getFreshestPeer(now, getVersion(), getRandom());
    const isFresher = freshest !== undefined && now - freshest.confirmedAt < getAgeMilliseconds();
    return isFresher ? freshest : undefined;
  }
}
