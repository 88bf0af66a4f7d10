import { build, type Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { defaultModel, getToken, type Fleet } from "../fleet/index.js";
import { getProcessorSeconds } from "./counters.js";
import type { HopFigures } from "./schema.js";

const requests = 6_000;
const warmUpRequests = 2_000;
const microsecondsPerMillisecond = 1_000;
const microsecondsPerSecond = 1_000_000;
const millisecondsPerSecond = 1_000;
const medianPercentile = 50;
const highPercentile = 99;

interface RunResult {
  readonly latencies: Histogram;
  readonly seconds: number;
}

/**
 * Measures short requests sent directly to the engines and through a daemon.
 * @param fleet - Fleet whose engines answer without delay.
 * @param daemon - Name of the daemon.
 * @param team - Team of the requests.
 * @param concurrency - Number of concurrent requests.
 */
export async function measureHop(
  fleet: Fleet,
  daemon: string,
  team: string,
  concurrency: number,
): Promise<HopFigures[]> {
  const engines = fleet.layout.engines.map(({ name }) => fleet.getAddressOrThrow(name));
  const { callers, operations } = fleet.getDaemonOrThrow(daemon);
  await run(engines, team, concurrency, warmUpRequests);
  await run([callers], team, concurrency, warmUpRequests);
  const direct = await run(engines, team, concurrency, requests);
  const before = await getProcessorSeconds(operations);
  const routed = await run([callers], team, concurrency, requests);
  const seconds = (await getProcessorSeconds(operations)) - before;
  return [
    toFigures("direct", concurrency, direct, 0),
    toFigures("daemon", concurrency, routed, (seconds * microsecondsPerSecond) / requests),
  ];
}

async function run(
  addresses: readonly string[],
  team: string,
  concurrency: number,
  count: number,
): Promise<RunResult> {
  const pools = addresses.map(
    (address) => new Pool(`http://${address}`, { connections: concurrency }),
  );
  const latencies = build();
  const startedAt = performance.now();
  let next = 0;
  const sendRequests = async (): Promise<void> => {
    for (let index = next++; index < count; index = next++) {
      const pool = pools[index % pools.length];
      if (pool !== undefined) {
        latencies.recordValue(await sendOne(pool, team, index));
      }
    }
  };
  await Promise.all(Array.from({ length: concurrency }, sendRequests));
  const seconds = (performance.now() - startedAt) / millisecondsPerSecond;
  await Promise.all(pools.map((pool) => pool.close()));
  return { latencies, seconds };
}

/** Sends one request and returns its latency in microseconds. */
async function sendOne(pool: Pool, team: string, index: number): Promise<number> {
  const messages = [{ role: "user", content: `short question ${String(index)}` }];
  const startedAt = performance.now();
  const response = await pool.request({
    method: "POST",
    path: "/v1/chat/completions",
    headers: { authorization: `Bearer ${getToken(team)}`, "content-type": "application/json" },
    body: JSON.stringify({ model: defaultModel, messages, max_tokens: 1 }),
  });
  await response.body.text();
  return Math.round((performance.now() - startedAt) * microsecondsPerMillisecond);
}

function toFigures(
  path: HopFigures["path"],
  concurrency: number,
  { latencies, seconds }: RunResult,
  cpuMicrosecondsPerRequest: number,
): HopFigures {
  const getMilliseconds = (percentile: number): number =>
    latencies.getValueAtPercentile(percentile) / microsecondsPerMillisecond;
  return {
    path,
    concurrency,
    requestsPerSecond: Math.round(requests / seconds),
    medianMilliseconds: getMilliseconds(medianPercentile),
    p99Milliseconds: getMilliseconds(highPercentile),
    cpuMicrosecondsPerRequest: Math.round(cpuMicrosecondsPerRequest),
  };
}
