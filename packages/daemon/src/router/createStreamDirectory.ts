import type { FleetTask } from "../fleet/index.js";
import { StreamDirectory } from "../streams/index.js";

/**
 * Creates the directory of streams of a router, which talks to the others by datagrams.
 * @param address - Address at which the router receives datagrams.
 * @param isFirstStart - Whether the whole installation starts for the first time.
 * @param fleet - Sends the datagrams and knows the other routers.
 * @param getNow - Reads the monotonic clock, in milliseconds.
 */
export function createStreamDirectory(
  address: string,
  isFirstStart: boolean,
  fleet: FleetTask,
  getNow: () => number,
): StreamDirectory {
  return StreamDirectory.create({
    address,
    isFirstStart,
    getPeerAddresses: () => fleet.view.getLiveStates(getNow()).map((state) => state.address),
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
