// What all scripts of the cases share: the record, the fleet of routers, and the end with its exit code.
import { appendFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { findPorts, Router } from "./router.mjs";

/** A case that cannot run ends with 2, whatever stopped it; what it started ends with it. */
function endUnrun(error) {
  console.log(`could not run: ${String(error)}`);
  process.exit(2);
}
process.on("uncaughtException", endUnrun);
process.on("unhandledRejection", endUnrun);
process.once("SIGTERM", () => endUnrun("SIGTERM"));
process.once("SIGINT", () => endUnrun("SIGINT"));

export const isTroubled = process.env.TROUBLE !== "0";

export function pause(milliseconds) {
  return new Promise((resolve) => setTimeout(resolve, milliseconds));
}

/** Opens the record of a case in the folder of its script. */
export function openRecord(url) {
  const file = join(fileURLToPath(new URL(".", url)), "record.txt");
  const startedAt = Date.now();
  writeFileSync(file, `disturbance: ${isTroubled ? "yes" : "no (TROUBLE=0)"}\n`);
  const write = (text) => {
    appendFileSync(file, `${String(Date.now() - startedAt).padStart(6)} ms ${text}\n`);
  };
  return { write, startedAt };
}

/** Starts a fleet of routers on loopback addresses with the same ports; each may have a link of its own to the store. */
export async function startFleet(count, store, options = {}, getStore = () => store.address) {
  const hosts = Array.from({ length: count }, (_, index) => `127.0.0.${String(index + 1)}`);
  const ports = await findPorts(hosts);
  const seeds = hosts.slice(0, 3).map((host) => `${host}:${String(ports.operations)}`);
  const routers = [];
  for (const host of hosts) {
    routers.push(new Router({ host, ports, store: await getStore(host), seeds, ...options }));
  }
  routers.forEach((router) => router.start());
  return routers;
}

export async function areReady(routers, milliseconds = 15_000) {
  const ready = await Promise.all(routers.map((router) => router.waitUntilReady(milliseconds)));
  return ready.every(Boolean);
}

/**
 * Runs a case. `run` resolves to true when the rule held, false when it was broken, undefined when the case could not run.
 * `stop` ends all that was started.
 */
export async function runCase(record, run, stop) {
  let code = 2;
  const limit = setTimeout(() => {
    record.write("the case took too long");
    void stop().finally(() => process.exit(2));
  }, 115_000);
  try {
    const held = await run();
    code = held === undefined ? 2 : held ? 0 : 1;
  } catch (error) {
    record.write(`could not run: ${error.stack ?? error}`);
  }
  clearTimeout(limit);
  await stop();
  record.write(`exit ${String(code)}`);
  console.log(`exit ${String(code)}`);
  process.exit(code);
}

/** Counts by key. */
export class Tally {
  counts = {};

  add(key, number = 1) {
    this.counts[key] = (this.counts[key] ?? 0) + number;
  }

  toString() {
    return Object.entries(this.counts)
      .sort()
      .map(([key, count]) => `${key}: ${String(count)}`)
      .join("; ");
  }
}
