import { ScriptedCaller } from "@pistachioway/standins";
import { setMaxListeners } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import { Random } from "../bench/Random.js";
import { formatEnd } from "../errors/index.js";
import { awaitRecovery } from "./awaitRecovery.js";
import { getRequestBody } from "./bodies.js";
import { minDurationMilliseconds, pickDisturbanceKinds, prepareModes } from "./disturbances.js";
import type { PreparedDisturbance } from "./PreparedDisturbance.js";
import { Installation } from "./Installation.js";
import { findHalfStart } from "./findHalfStart.js";
import { findViolations } from "./findViolations.js";
import { LateCaller, type EarlyPart } from "./LateCaller.js";
import type { RouterProcess } from "./RouterProcess.js";
import {
  storeName,
  type CallKind,
  type CallRecord,
  type Disturbance,
  type SoakOptions,
  type Violation,
} from "./schema.js";
import { StallWatch, type Stall } from "./StallWatch.js";

/** Result of one run. */
export interface SoakResult {
  readonly seed: number;
  readonly calls: number;
  readonly runs: number;
  readonly disturbances: readonly Disturbance[];
  /** Number of starts that were repeated as a reload ended them before the program handled its signal. */
  readonly repeatedStarts: number;
  /** Periods in which the soak's own process did not run. */
  readonly stalls: readonly Stall[];
  readonly violations: readonly Violation[];
  /** Log of each router, by name of the router. */
  readonly logs: Readonly<Record<string, string>>;
}

const meanDisturbancePauseMilliseconds = 600;
/** Time after the recovery in which calls are checked to succeed. */
const recoveryCheckMilliseconds = 3_000;
/** Longest time until the end of that check; stalls of the soak's process put it off. */
const maxRecoveryMilliseconds = 45_000;
const meanCallerPauseMilliseconds = 30;
const callerTimeoutMilliseconds = 4_000;
const millisecondsPerSecond = 1_000;
/** Share of the acts whose body does not fit into a few packets. */
const largeBodyShare = 0.25;
/** Share of the refused acts that are sent once more with the same request id. */
const sameIdShare = 0.5;
const refusedStatus = 503;
const callKinds: readonly CallKind[] = ["read", "act", "stream", "once"];

const earlyParts: readonly EarlyPart[] = ["connection", "head"];
/** Longest time from the early part of a late call to the rest; unused connections are closed after 3 s. */
const maxDelayMilliseconds: Readonly<Record<EarlyPart, number>> = {
  connection: 2_400,
  head: 5_000,
};

/** What a caller sends. */
interface SentCall {
  readonly router: string;
  readonly kind: CallKind;
  readonly key: string;
  readonly isLarge: boolean;
}

/**
 * One run: callers send requests all the time while disturbances start at random.
 * After the last one the routers get time to recover, then the records are checked for violations.
 */
export class Soak {
  private readonly random: Random;
  private readonly calls: CallRecord[] = [];
  private readonly disturbances: Disturbance[] = [];
  /** Disturbances that failed, for example because a router did not start again. */
  private readonly failures: string[] = [];
  private readonly end = new AbortController();
  private readonly stallWatch = StallWatch.create(minDurationMilliseconds, getNow);
  private nextCall = 0;

  private constructor(
    private readonly options: SoakOptions,
    private readonly installation: Installation,
  ) {
    this.random = Random.create(options.seed, 1);
    // Each late caller listens to it.
    setMaxListeners(0, this.end.signal);
  }

  /**
   * Runs the soak with one seed.
   * @param options - Options; the number of runs is not used.
   */
  static async run(options: SoakOptions): Promise<SoakResult> {
    const installation = await Installation.start(options, Random.create(options.seed, 2));
    try {
      return await new Soak(options, installation).run();
    } finally {
      await installation.stop();
    }
  }

  private async run(): Promise<SoakResult> {
    const { options } = this;
    this.stallWatch.start();
    const callers = [
      ...this.startCallers(options.callersPerRouter, this.sendCalls.bind(this)),
      ...this.startCallers(options.lateCallersPerRouter, this.sendLateCalls.bind(this)),
    ];
    try {
      await this.disturb();
      const recoveryDeadlineAt = await this.recover();
      return this.createResult(recoveryDeadlineAt, await this.findHalfStarts());
    } finally {
      this.stallWatch.stop();
      this.end.abort();
      await Promise.all(callers);
    }
  }

  /** Waits for the routers to recover, and gets the instant from which calls must succeed. */
  private recover(): Promise<number> {
    return awaitRecovery({
      recoveryMilliseconds: this.options.recoverySeconds * millisecondsPerSecond,
      checkMilliseconds: recoveryCheckMilliseconds,
      maxMilliseconds: maxRecoveryMilliseconds,
      stallWatch: this.stallWatch,
      getNow,
      wait: delay,
    });
  }

  /** Finds what each router does not do after the recovery. */
  private async findHalfStarts(): Promise<readonly string[]> {
    const { routers, routerNames } = this.installation;
    const failures = routers.map(async (router) => {
      const failure = await findHalfStart(router, routerNames);
      return failure === undefined ? [] : [`router "${router.name}" ${failure}`];
    });
    return (await Promise.all(failures)).flat();
  }

  /** Starts callers of every router, which have numbers of their own. */
  private startCallers(
    countPerRouter: number,
    start: (router: RouterProcess, number: number) => Promise<void>,
  ): readonly Promise<void>[] {
    return this.installation.routers.flatMap((router, index) =>
      Array.from({ length: countPerRouter }, (_, caller) =>
        start(router, index * countPerRouter + caller),
      ),
    );
  }

  private createResult(recoveryDeadlineAt: number, halfStarts: readonly string[]): SoakResult {
    const { calls, options } = this;
    const { stalls } = this.stallWatch;
    const disturbances = [...this.disturbances, ...stalls.map(createStallDisturbance)];
    const {
      runs,
      refusals,
      routers,
      acknowledgements,
      upstreamNames: upstreams,
    } = this.installation;
    const exitedRouters = routers
      .filter((router) => router.hasExitedUnexpectedly())
      .map((router) => `router "${router.name}" ended by itself, ${formatEnd(router.getEnd())}`);
    const unexpectedExits = [...exitedRouters, ...this.failures];
    const evidence = {
      calls,
      runs,
      refusals,
      disturbances,
      acknowledgements,
      upstreams,
      unexpectedExits,
      halfStarts,
      recoveryDeadlineAt,
    };
    return {
      seed: options.seed,
      calls: calls.length,
      runs: runs.length,
      disturbances: this.disturbances,
      repeatedStarts: routers.reduce((sum, router) => sum + router.getRepeatedStarts(), 0),
      stalls,
      violations: findViolations(evidence),
      logs: Object.fromEntries(routers.map((router) => [router.name, router.getOutput()])),
    };
  }

  /** Starts disturbances, and resolves when all are over. */
  private async disturb(): Promise<void> {
    const { modes, seconds } = this.options;
    const milliseconds = seconds * millisecondsPerSecond;
    if (modes === undefined) {
      await this.disturbAtRandom(performance.now() + milliseconds);
      return;
    }
    const prepared = prepareModes(this.installation, modes, milliseconds / modes.length);
    await Promise.all(prepared.map((each) => this.runDisturbance(each.name, false, each)));
  }

  /** Starts disturbances at random intervals until an instant. */
  private async disturbAtRandom(endAt: number): Promise<void> {
    const running: Promise<void>[] = [];
    const kinds = pickDisturbanceKinds(this.random, this.options.kinds);
    while (performance.now() < endAt) {
      await delay(this.random.getExponential(meanDisturbancePauseMilliseconds));
      const kind = kinds[this.random.getIndex(kinds.length)];
      const prepared = kind?.prepare({ installation: this.installation, random: this.random });
      if (kind !== undefined && prepared !== undefined) {
        running.push(this.runDisturbance(kind.name, kind.isPlanned, prepared));
      }
    }
    await Promise.all(running);
  }

  private async runDisturbance(
    name: string,
    isPlanned: boolean,
    { target, run }: PreparedDisturbance,
  ): Promise<void> {
    const from = performance.now();
    const disturbance = { name, target, isPlanned, from, until: Infinity };
    this.disturbances.push(disturbance);
    await run().catch((error: unknown) => {
      this.failures.push(`${name} of "${target}" failed: ${String(error)}`);
    });
    disturbance.until = performance.now();
  }

  /** Sends requests to a router, one at a time, until the run is over. */
  private async sendCalls(router: RouterProcess, number: number): Promise<void> {
    const caller = ScriptedCaller.create(router.callerAddress);
    const random = Random.create(this.options.seed, 100 + number);
    const key = this.getKey(number);
    while (!this.end.signal.aborted) {
      const kind = callKinds[random.getIndex(callKinds.length)] ?? "read";
      const isLarge = kind === "act" && random.getUniform() < largeBodyShare;
      const sent = { router: router.name, kind, key, isLarge };
      const { id, status } = await this.call(caller, sent);
      if (kind === "act" && status === refusedStatus && random.getUniform() < sameIdShare) {
        await this.call(caller, sent, id);
      }
      await delay(random.getExponential(meanCallerPauseMilliseconds));
    }
    caller.close();
  }

  /** Sends late requests to a router, one at a time, until the run is over. */
  private async sendLateCalls(router: RouterProcess, number: number): Promise<void> {
    const { signal } = this.end;
    const caller = LateCaller.create(router.callerAddress, signal);
    const random = Random.create(this.options.seed, 10_000 + number);
    const key = this.getKey(number);
    while (!signal.aborted) {
      const id = this.createCallId();
      const earlyPart = earlyParts[random.getIndex(earlyParts.length)] ?? "head";
      const delayMilliseconds = random.getUniform() * maxDelayMilliseconds[earlyPart];
      const sent = { id, path: `/late/${id}`, key, body: getRequestBody(id, false) };
      const outcome = await caller.call({ ...sent, earlyPart, delayMilliseconds });
      if (outcome !== undefined) {
        const endedAt = performance.now();
        this.calls.push({ id, kind: "late", key, router: router.name, endedAt, ...outcome });
      }
      await delay(random.getExponential(meanCallerPauseMilliseconds));
    }
  }

  private getKey(caller: number): string {
    return this.installation.keys[caller % this.installation.keys.length] ?? "";
  }

  private createCallId(): string {
    this.nextCall += 1;
    return `q-${String(this.nextCall)}`;
  }

  /**
   * Sends a request and records its outcome.
   * @param requestId - Request id of an earlier call that is used again.
   */
  private async call(
    caller: ScriptedCaller,
    { router, kind, key, isLarge }: SentCall,
    requestId?: string,
  ): Promise<CallRecord> {
    const id = this.createCallId();
    const sentAt = performance.now();
    const method = kind === "act" ? "POST" : "GET";
    const body = kind === "act" ? { body: getRequestBody(id, isLarge) } : {};
    const path = `/${kind}/${id}`;
    const outcome = await Promise.race([
      caller.call({ id: requestId ?? id, method, path, key, ...body }),
      delay(callerTimeoutMilliseconds).then(() => undefined),
    ]);
    const timedOut = {
      status: 0,
      stamp: "",
      body: "",
      isLeaving: false,
      isWhole: false,
      wasConnected: true,
    };
    const endedAt = performance.now();
    const instants = { sentAt, lastByteAt: sentAt, endedAt };
    const record = { id, kind, key, router, ...instants, ...(outcome ?? timedOut) };
    this.calls.push(record);
    return record;
  }
}

function getNow(): number {
  return performance.now();
}

/** The store and all upstreams are in the soak's process, and are silent while it does not run. */
function createStallDisturbance({ from, until }: Stall): Disturbance {
  return { name: "soak-stalled", target: storeName, isPlanned: false, from, until };
}
