import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";

/** A daemon as the balancer knows it. */
export interface Entry {
  readonly name: string;
  readonly callers: string;
  readonly operations: string;
}

const checkPeriodMilliseconds = 100;
const checkTimeoutMilliseconds = 1_000;
const httpOk = 200;

/** Stands for the platform's balancer: sends requests to the daemons that are ready, in turn. */
export class Balancer {
  private readonly readyNames = new Set<string>();
  private readonly stopped = new AbortController();
  private turn = 0;

  private constructor(private readonly entries: readonly Entry[]) {}

  /**
   * Creates a balancer and starts its checks.
   * @param entries - Daemons to balance over.
   */
  static create(entries: readonly Entry[]): Balancer {
    const balancer = new Balancer(entries);
    for (const entry of entries) {
      void balancer.checkUntilStopped(entry);
    }
    return balancer;
  }

  /** Picks the next ready daemon, if there is one. */
  pick(): Entry | undefined {
    const ready = this.entries.filter(({ name }) => this.readyNames.has(name));
    this.turn += 1;
    return ready[this.turn % Math.max(1, ready.length)];
  }

  /** Waits until every daemon is ready. */
  async waitForAll(): Promise<void> {
    while (this.readyNames.size < this.entries.length) {
      await delay(checkPeriodMilliseconds);
    }
  }

  /** Stops the checks. */
  stop(): void {
    this.stopped.abort();
  }

  private async checkUntilStopped(entry: Entry): Promise<void> {
    while (!this.stopped.signal.aborted) {
      if (await isReady(entry)) {
        this.readyNames.add(entry.name);
      } else {
        this.readyNames.delete(entry.name);
      }
      await delay(checkPeriodMilliseconds);
    }
  }
}

async function isReady(entry: Entry): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${entry.operations}/readyz`, {
      signal: AbortSignal.timeout(checkTimeoutMilliseconds),
    });
    await body.dump();
    return statusCode === httpOk;
  } catch {
    return false;
  }
}
