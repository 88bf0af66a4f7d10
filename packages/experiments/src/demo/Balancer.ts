import { setTimeout as delay } from "node:timers/promises";
import { request } from "undici";

/** A daemon with the addresses that the balancer uses. */
export interface BalancedDaemon {
  readonly name: string;
  readonly callers: string;
  readonly operations: string;
}

const checkPeriodMilliseconds = 100;
const checkTimeoutMilliseconds = 1_000;
const httpOk = 200;

/** Stand-in for the platform's load balancer; picks the ready daemons round-robin. */
export class Balancer {
  private readonly readyNames = new Set<string>();
  private readonly stopped = new AbortController();
  private pickCount = 0;

  private constructor(private readonly daemons: readonly BalancedDaemon[]) {}

  /**
   * Creates a balancer and starts its readiness checks.
   * @param daemons - Daemons to balance over.
   */
  static create(daemons: readonly BalancedDaemon[]): Balancer {
    const balancer = new Balancer(daemons);
    for (const daemon of daemons) {
      void balancer.checkUntilStopped(daemon);
    }
    return balancer;
  }

  /** Picks the next ready daemon, if there is one. */
  pick(): BalancedDaemon | undefined {
    const ready = this.daemons.filter(({ name }) => this.readyNames.has(name));
    this.pickCount += 1;
    return ready[this.pickCount % Math.max(1, ready.length)];
  }

  /** Waits until every daemon is ready. */
  async waitForAll(): Promise<void> {
    while (this.readyNames.size < this.daemons.length) {
      await delay(checkPeriodMilliseconds);
    }
  }

  /** Stops the readiness checks. */
  stop(): void {
    this.stopped.abort();
  }

  private async checkUntilStopped(daemon: BalancedDaemon): Promise<void> {
    while (!this.stopped.signal.aborted) {
      if (await isReady(daemon)) {
        this.readyNames.add(daemon.name);
      } else {
        this.readyNames.delete(daemon.name);
      }
      await delay(checkPeriodMilliseconds);
    }
  }
}

async function isReady(daemon: BalancedDaemon): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`http://${daemon.operations}/readyz`, {
      signal: AbortSignal.timeout(checkTimeoutMilliseconds),
    });
    await body.dump();
    return statusCode === httpOk;
  } catch {
    return false;
  }
}
