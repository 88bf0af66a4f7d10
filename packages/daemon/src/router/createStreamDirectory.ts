import type { FleetTask } from "../fleet/index.js";
import { StreamDirectory } from "../streams/index.js";

/** What the directory of a router depends on. */
export interface StreamDirectoryContext {
  /** Address at which the router receives datagrams. */
  readonly address: string;
  /** Whether the whole installation starts for the first time. */
  readonly isFirstStart: boolean;
  /** Sends the datagrams and knows the other routers. */
  readonly fleet: FleetTask;
  /** Checks whether the router cannot read the registry, or stops. */
  readonly isAtRisk: () => boolean;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
}

/**
 * Creates the directory of streams of a router, which talks to the others by datagrams.
 * @param context - What it depends on.
 */
export function createStreamDirectory({
  address,
  isFirstStart,
  fleet,
  isAtRisk,
  getNow,
}: StreamDirectoryContext): StreamDirectory {
  return StreamDirectory.create({
    address,
    isFirstStart,
    getPeers: () => fleet.view.getLiveStates(getNow()),
    isAtRisk,
    send: (target, message) => {
      fleet.sendStreamMessage(target, message);
    },
    schedule: startTimer,
    getNow,
  });
}

function startTimer(milliseconds: number, run: () => void): () => void {
  const timer = setTimeout(run, milliseconds);
  return () => {
    clearTimeout(timer);
  };
}
