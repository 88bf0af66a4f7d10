import { setTimeout as delay } from "node:timers/promises";
import type { Random } from "../bench/Random.js";
import { occupiedListeners, occupyAddress } from "./occupyAddress.js";
import type { RouterProcess } from "./RouterProcess.js";

/** Exit code of a router that could not listen in time. */
export const listenerExitCode = 5;
const minOccupiedMilliseconds = 300;
/** Longest time; longer than a router tries to listen. */
const maxOccupiedMilliseconds = 12_000;
/** Time from the release of the address within which the router must listen, or have exited and been started again. */
const maxStartMilliseconds = 10_000;

/**
 * Kills a router and starts it again while another socket has one of its addresses for some time. A start that exits
 * with the code for that is repeated, as whoever starts processes does.
 * @param router - The router.
 * @param random - Picks the address and the time.
 */
export async function startOnOccupiedAddress(router: RouterProcess, random: Random): Promise<void> {
  const listener = occupiedListeners[random.getIndex(occupiedListeners.length)];
  const { port, protocol } = listener ?? occupiedListeners[0];
  const spread = maxOccupiedMilliseconds - minOccupiedMilliseconds;
  // Most times are short.
  const milliseconds = minOccupiedMilliseconds + random.getUniform() ** 2 * spread;
  await router.stop("SIGKILL");
  const release = await occupyAddress(protocol, router.getAddress(port));
  const end = new AbortController();
  const start = startUntilListening(router, end.signal);
  // A start that fails early is reported below.
  start.catch(() => undefined);
  await delay(milliseconds);
  await release();
  const late = delay(maxStartMilliseconds, true, { signal: end.signal }).catch(() => false);
  const isLate = await Promise.race([start.then(() => false), late]);
  end.abort();
  if (isLate) {
    throw new Error(
      `does not listen ${String(maxStartMilliseconds)} ms after "${port}" (${protocol}) was freed`,
    );
  }
}

async function startUntilListening(router: RouterProcess, signal: AbortSignal): Promise<void> {
  for (;;) {
    try {
      await router.start();
      return;
    } catch (error) {
      if (signal.aborted || router.getEnd().exitCode !== listenerExitCode) {
        throw error;
      }
    }
  }
}
