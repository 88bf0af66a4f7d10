import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../bench/Random.js";
import { promiseStatuses } from "./answerFaults.js";
import { disturb } from "./disturb.js";
import { getForwarding } from "./getForwarding.js";
import { OutcomeCaller, type CallerAnswer } from "./OutcomeCaller.js";
import { OutcomeInstallation } from "./OutcomeInstallation.js";
import { OutcomeMeter, type OutcomeCounts } from "./OutcomeMeter.js";
import type { FaultName, OutcomeOptions } from "./schema.js";
import { sites, type SiteRoute } from "./sites.js";

/** Result of one run. */
export interface OutcomeResult extends OutcomeCounts {
  readonly fault: FaultName;
  /** Number of times that a process was stopped, killed or paused. */
  readonly disturbances: number;
  /** Routers' log lines on one affected request of each kind of fault. */
  readonly logs: Readonly<Record<string, readonly string[]>>;
}

/** Time in which the routers learn of the engines. */
const settleMilliseconds = 1_500;
/** Time after the last answer in which a request may still run. */
const lateRunMilliseconds = 3_000;
const millisecondsPerSecond = 1_000;
const largestWaitShare = 1 / 3;
const usualBodyBytes = 600;
/** Size of every fifth body; it is still under way when an engine has read the head. */
const largeBodyBytes = 40_000;
const largeBodyInterval = 5;
const okStatus = 200;

/** Callers send the requests of a site while its engines or processes have one fault. */
export class OutcomeRun {
  private readonly callers: readonly OutcomeCaller[];
  private readonly running = new Set<Promise<void>>();
  private requestCount = 0;
  private operationCount = 0;

  private constructor(
    private readonly options: OutcomeOptions,
    private readonly fault: FaultName,
    private readonly installation: OutcomeInstallation,
    private readonly meter: OutcomeMeter,
  ) {
    this.callers = installation.routers.map(({ callerAddress }) =>
      OutcomeCaller.create(callerAddress, installation.key),
    );
  }

  /**
   * Runs one fault.
   * @param options - Options of the experiment.
   * @param fault - The fault.
   */
  static async run(options: OutcomeOptions, fault: FaultName): Promise<OutcomeResult> {
    const meter = OutcomeMeter.create();
    const listener = { onRun: meter.addRun, onFault: meter.addFault };
    const installation = await OutcomeInstallation.start(options, fault, listener);
    try {
      return await new OutcomeRun(options, fault, installation, meter).run();
    } finally {
      await installation.stop();
    }
  }

  private async run(): Promise<OutcomeResult> {
    await delay(settleMilliseconds);
    const { routes } = sites[this.options.site];
    const endsAt = Date.now() + this.options.seconds * millisecondsPerSecond;
    const [disturbances] = await Promise.all([
      disturb(this.installation, this.fault, this.createRandom(routes.length), endsAt),
      ...routes.map((route, index) => this.sendAll(route, index, endsAt)),
    ]);
    await Promise.all(this.running);
    await delay(lateRunMilliseconds);
    this.callers.forEach((caller) => {
      caller.close();
    });
    this.installation.logLines.forEach(({ router, text }) => {
      const forwarding = getForwarding(text, router);
      if (forwarding !== undefined) {
        this.meter.addForwarded(forwarding.id, this.installation.getBuild(forwarding.peer));
      }
    });
    const counts = this.meter.getCounts();
    return { fault: this.fault, disturbances, ...counts, logs: this.getLogs(counts) };
  }

  /** Starts the operations of one route at random times, whether or not earlier ones have ended. */
  private async sendAll(route: SiteRoute, stream: number, endsAt: number): Promise<void> {
    const random = this.createRandom(stream);
    const meanPause = millisecondsPerSecond / (route.requestsPerSecond * this.options.scale);
    let nextAt = Date.now();
    while (nextAt < endsAt) {
      await delay(Math.max(0, nextAt - Date.now()));
      const operation = this.operate(route, random);
      this.running.add(operation);
      void operation.then(() => this.running.delete(operation));
      nextAt += random.getExponential(meanPause);
    }
  }

  /** Sends a request, and again where the platform's rule allows it. */
  private async operate(route: SiteRoute, random: Random): Promise<void> {
    this.operationCount += 1;
    const operation = this.operationCount;
    const deadline = Date.now() + route.timeoutMilliseconds;
    for (let attempt = 0; attempt <= route.retries; attempt += 1) {
      const index = random.getIndex(this.callers.length);
      const caller = this.callers[index];
      const router = this.installation.routers[index];
      this.requestCount += 1;
      const id = `q-${String(this.requestCount)}`;
      const bodyBytes = operation % largeBodyInterval === 0 ? largeBodyBytes : usualBodyBytes;
      const request = { id, route, deadline, bodyBytes };
      const answer = await caller?.send(request, attempt > 0);
      if (answer === undefined || router === undefined) {
        return;
      }
      const build = this.installation.getBuild(router.name);
      this.meter.addAttempt({ id, operation, route, build, answer });
      if (!mayRepeat(route, answer) || Date.now() >= deadline) {
        return;
      }
      await delay(getWaitMilliseconds(answer, deadline));
    }
  }

  private createRandom(stream: number): Random {
    return Random.create(this.options.seed, stream);
  }

  private getLogs({ examples }: OutcomeCounts): Record<string, readonly string[]> {
    const { logLines } = this.installation;
    return Object.fromEntries(
      Object.entries(examples).map(([variant, id]) => [
        variant,
        [
          `request=${id} engines=${this.meter.getEngines(id).join(",")}`,
          ...logLines
            .map(({ text }) => text)
            .filter((line) => line.split(" ").includes(`request=${id}`)),
        ],
      ]),
    );
  }
}

/** Checks whether a caller sends a request again: one that may run once only after a promise. */
function mayRepeat({ kind }: SiteRoute, { status, isWhole, wasUnread }: CallerAnswer): boolean {
  if (status === okStatus && isWhole) {
    return false;
  }
  const wasPromised = promiseStatuses.includes(status) || wasUnread;
  return wasPromised || kind === "read" || kind === "stream";
}

function getWaitMilliseconds({ retryAfterSeconds }: CallerAnswer, deadline: number): number {
  const longest = Math.max(0, deadline - Date.now()) * largestWaitShare;
  return Math.min(longest, retryAfterSeconds * millisecondsPerSecond);
}
