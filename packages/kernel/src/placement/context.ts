import type { ChatDirectory } from "./ChatDirectory.js";
import type { LoadCounts } from "./LoadCounts.js";
import type { PlacementEffect } from "./messages.js";
import type { PeerMessageQueue } from "./PeerMessageQueue.js";
import type { PlacementStrategy } from "./strategy.js";

/** Interval of the gossip messages in a small fleet. */
export const minGossipIntervalMilliseconds = 350;

/** State that the classes of one daemon's placement share. */
export interface PlacementContext {
  readonly daemon: string;
  readonly strategy: PlacementStrategy;
  readonly loadCounts: LoadCounts;
  readonly peerMessages: PeerMessageQueue;
  readonly chatDirectory: ChatDirectory;
  /** Largest load of an engine as a multiple of the mean. */
  bound: number;
  /** Number of live daemons, this one included. */
  daemonCount: number;
  /** Interval of the gossip messages; increases with the number of daemons. */
  gossipIntervalMilliseconds: number;
  /** Effects of the message that is being handled. */
  effects: PlacementEffect[];
}
