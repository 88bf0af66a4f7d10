import {
  AdmissionQueue,
  getServiceCapacity,
  getUsableUpstreams,
  RetryWindowBudget,
  UpstreamTable,
  type AdmissionView,
  type FleetSize,
  type QueueAction,
  type QueuedRequest,
  type UpstreamEntry,
} from "@pistachioway/kernel";
import { createUpstream } from "../upstreams/samples.js";
import type { Clock } from "./Clock.js";
import type { FakeEngine } from "./FakeEngine.js";

/** Requests that are alike. */
export interface Kind {
  readonly name: string;
  readonly priority: number;
  readonly promptTokens: number;
  readonly writeMilliseconds: number;
  readonly goalMilliseconds: number;
  readonly timeoutMilliseconds: number;
}

/** One request of a caller to a daemon. */
export interface Call {
  readonly kind: Kind;
  /** First arrival of the request at any daemon. */
  readonly arrivedAt: number;
  /** Arrival at this daemon. */
  readonly startedAt: number;
  readonly onSent: () => void;
  readonly onFirstByte: () => void;
  readonly onRefused: (retryAt: number) => void;
}

/** What a fake daemon works on. */
export interface FakeDaemonOptions {
  readonly clock: Clock;
  readonly engines: readonly FakeEngine[];
  readonly slots: number;
  /** False to send every request at once. */
  readonly isAdmitting: boolean;
  readonly getRandom: () => number;
  readonly getFleet: () => FleetSize;
  readonly isUsable: (engine: number) => boolean;
  readonly onSend: () => void;
  readonly onEngineRefusal: () => void;
}

const maxAttempts = 3;
const service = "engine";
const minServiceMilliseconds = 30;
const refusedRetryMilliseconds = 200;

/** A daemon that places requests on the less loaded one of two engines, with the kernel's admission queue before it or not. */
export class FakeDaemon {
  private readonly table = UpstreamTable.create();
  private readonly entries: readonly UpstreamEntry[];
  private readonly queue: AdmissionQueue;
  private readonly budget = RetryWindowBudget.create({
    ratio: 0.2,
    slack: 172,
    windowMilliseconds: 10_000,
  });
  private readonly calls = new Map<QueuedRequest, Call>();

  private constructor(private readonly options: FakeDaemonOptions) {
    this.entries = options.engines.map((_, index) => {
      const id = `e-${String(index)}`;
      this.table.addUpstream(createUpstream({ id, slots: options.slots }), 0);
      return this.table.getEntry(id) ?? expectEntry(id);
    });
    this.queue = AdmissionQueue.create({
      getFreeBytes: () => 1,
      getQueuedMilliseconds: () =>
        Math.min(...this.getUsable().map((index) => this.getReading(index))),
    });
  }

  /** Creates a daemon that knows of no load. */
  static create(options: FakeDaemonOptions): FakeDaemon {
    return new FakeDaemon(options);
  }

  /** Serves or refuses a call. */
  start(call: Call): void {
    const { kind, startedAt, arrivedAt } = call;
    this.budget.addRequest(startedAt);
    if (!this.options.isAdmitting) {
      this.send(call, new Set());
      return;
    }
    const deadline = arrivedAt + kind.timeoutMilliseconds;
    const request: QueuedRequest = {
      priority: kind.priority,
      team: "",
      cost: kind.promptTokens,
      bytes: 0,
      arrivedAt: startedAt,
      goalAt: startedAt + kind.goalMilliseconds,
      sendBy: deadline - minServiceMilliseconds,
    };
    this.calls.set(request, call);
    this.apply(this.queue.add(request, this.getView()));
  }

  /** Releases and refuses what waits. */
  tick(): void {
    this.apply(this.queue.advance(this.getView()));
  }

  /** Gets the numbers of own requests by engine. */
  getRunning(): readonly number[] {
    return this.entries.map(({ running }) => running);
  }

  /** Sets the numbers of the other daemons' requests by engine. */
  setOthers(counts: readonly number[]): void {
    this.entries.forEach((entry, index) => {
      entry.runningOnOtherDaemons = counts[index] ?? 0;
    });
  }

  private getView(): AdmissionView {
    const { now } = this.options.clock;
    const usable = this.getUsable().flatMap((index) => this.entries[index] ?? []);
    const capacity = getServiceCapacity(getUsableUpstreams(usable, service, now), now);
    return { capacity, fleet: this.options.getFleet(), now };
  }

  private getUsable(): readonly number[] {
    return this.entries.map((_, index) => index).filter((index) => this.options.isUsable(index));
  }

  private getReading(engine: number): number {
    return this.options.engines[engine]?.getReadingMilliseconds() ?? 0;
  }

  private apply(actions: readonly QueueAction[]): void {
    for (const action of actions) {
      const call = this.calls.get(action.request);
      this.calls.delete(action.request);
      if (action.kind === "send" && call !== undefined) {
        this.send(call, new Set());
      } else if (action.kind === "refuse") {
        call?.onRefused(action.retryAt);
      }
    }
  }

  private send(call: Call, tried: Set<number>): void {
    const { clock, engines } = this.options;
    const isRetried = tried.size > 0;
    const mayRetry = (): boolean =>
      tried.size < maxAttempts &&
      this.budget.spendRetry(clock.now, this.options.getFleet().daemons);
    const index = isRetried && !mayRetry() ? -1 : this.chooseEngine(tried);
    const entry = this.entries[index];
    const engine = engines[index];
    if (entry === undefined || engine === undefined) {
      call.onRefused(clock.now + refusedRetryMilliseconds);
      return;
    }
    tried.add(index);
    this.options.onSend();
    const { kind } = call;
    const sentAt = clock.now;
    entry.startRequest(sentAt);
    const isTaken = engine.take({
      ...kind,
      onFirstByte: () => {
        this.recordLoad(entry, engine);
        this.queue.recordFirstByte(kind.priority, clock.now - sentAt, clock.now);
        call.onFirstByte();
      },
      onEnd: () => {
        entry.finishRequest(false);
        this.queue.recordEnd(kind.priority, clock.now - sentAt, clock.now);
        this.tick();
      },
    });
    if (isTaken) {
      call.onSent();
      return;
    }
    this.recordLoad(entry, engine);
    entry.finishRequest(false);
    this.options.onEngineRefusal();
    this.send(call, tried);
  }

  private recordLoad(entry: UpstreamEntry, engine: FakeEngine): void {
    const { running, waiting } = engine.getLoad();
    entry.recordReportedLoad(running + waiting, this.options.clock.now, waiting);
  }

  private chooseEngine(tried: ReadonlySet<number>): number {
    const { now } = this.options.clock;
    const candidates = this.getUsable().filter((index) => !tried.has(index));
    const [first = -1, second = -1] = [0, 1].map(
      () => candidates[Math.floor(this.options.getRandom() * candidates.length)],
    );
    const [firstLoad = Infinity, secondLoad = Infinity] = [first, second].map((index) =>
      this.entries[index]?.getLoad(now),
    );
    return firstLoad <= secondLoad ? first : second;
  }
}

function expectEntry(id: string): never {
  throw new Error(`upstream "${id}" was not added`);
}
