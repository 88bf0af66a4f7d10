import { z } from "zod";
import type { RouterProcess } from "./RouterProcess.js";

const timeoutMilliseconds = 2_000;
const statusSchema = z.object({ peers: z.array(z.object({ name: z.string() })) });

/**
 * Finds out what a router that has been up for long does not do: say that it is ready, answer on its operations
 * listener, or know its peers, which takes datagrams.
 * @param router - The router.
 * @param names - Names of all routers.
 * @returns What it does not do; undefined when it does all.
 */
export async function findHalfStart(
  router: RouterProcess,
  names: readonly string[],
): Promise<string | undefined> {
  if ((await read(`http://${router.getAddress("readiness")}/readyz`)) === undefined) {
    return "is not ready";
  }
  const text = await read(`http://${router.getAddress("operations")}/status`);
  if (text === undefined) {
    return "gives no status";
  }
  const known = new Set(statusSchema.parse(JSON.parse(text)).peers.map(({ name }) => name));
  const missed = names.filter((name) => name !== router.name && !known.has(name));
  return missed.length === 0 ? undefined : `does not know its peers ${missed.join(", ")}`;
}

/** Gets the text of a page; undefined when there is no success in time. */
async function read(url: string): Promise<string | undefined> {
  try {
    const response = await fetch(url, { signal: AbortSignal.timeout(timeoutMilliseconds) });
    const text = await response.text();
    return response.ok ? text : undefined;
  } catch {
    return undefined;
  }
}
