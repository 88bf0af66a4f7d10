import { request } from "undici";

/** Counters of a daemon, as its metrics report them. */
export interface Counters {
  readonly processorSeconds: number;
  readonly sentBytes: number;
  readonly receivedBytes: number;
  readonly platformCalls: number;
}

/**
 * Reads the counters of a daemon.
 * @param operations - Address of the operations listener of the daemon.
 */
export async function getCounters(operations: string): Promise<Counters> {
  const response = await request(`http://${operations}/metrics`);
  const lines = (await response.body.text()).split("\n");
  const sum = (prefix: string, label = ""): number =>
    lines
      .filter((line) => line.startsWith(prefix) && line.includes(label))
      .reduce((total, line) => total + Number(line.split(" ").at(-1)), 0);
  return {
    processorSeconds: sum("process_cpu_seconds_total"),
    sentBytes: sum("pistachioway_control_bytes_total", 'direction="sent"'),
    receivedBytes: sum("pistachioway_control_bytes_total", 'direction="received"'),
    platformCalls: sum("pistachioway_platform_calls_total"),
  };
}

/**
 * Reads the CPU time of a daemon in seconds.
 * @param operations - Address of the operations listener of the daemon.
 */
export async function getProcessorSeconds(operations: string): Promise<number> {
  return (await getCounters(operations)).processorSeconds;
}
