import {
  AdmissionQueue,
  getRetryAfterSeconds,
  getServiceCapacity,
  getUsableUpstreams,
  type FleetSize,
  type QueueAction,
  type QueuedRequest,
  type QueueRefusalReason,
  type UpstreamTable,
  type WorkEstimator,
} from "@pistachioway/kernel";
import type { RouterMetrics } from "../metrics/RouterMetrics.js";
import type { Refusal, RefusalName } from "./refusals.js";

/** What the admission queues of a daemon depend on. */
export interface AdmissionQueuesDependencies {
  readonly upstreams: UpstreamTable;
  readonly workEstimator: Pick<WorkEstimator, "isWorkAware" | "getExpectedMilliseconds">;
  readonly metrics: Pick<RouterMetrics, "waitingRequests" | "queueRefusals">;
  /** Gets the daemons that share the upstreams. */
  readonly getFleet: () => FleetSize;
  /** Reads the monotonic clock, in milliseconds. */
  readonly getNow: () => number;
  /** Gets a random number in [0, 1), for the spread of returning callers. */
  readonly getRandom: () => number;
  /** Called with what a listener throws, unless its request is being added. */
  readonly onFailed: (error: unknown) => void;
}

/** Receives what becomes of a request: it may be sent, or is refused. It is called once, unless the request is removed. */
export type AdmissionListener = (refusal: Refusal | undefined) => void;

interface ServiceQueue {
  readonly queue: AdmissionQueue;
  readonly listeners: Map<QueuedRequest, AdmissionListener>;
  isAdvancing: boolean;
}

/** What the listener of a request threw. */
interface ListenerFailure {
  readonly request: QueuedRequest;
  readonly error: unknown;
}

/** Bodies of requests that wait: a quarter of the memory for bodies, as the rest serves requests in flight. */
const maxWaitingBytes = 16_777_216;
const emptyWork = { promptTokens: 0, unreadTokens: 0, outputTokens: 0 };

const refusalNames: Readonly<Record<QueueRefusalReason, RefusalName>> = {
  queueFull: "queue-full",
  tooLate: "queue-too-long",
};

/** The queues of a daemon in which requests of work-aware services wait for their first attempt. */
export class AdmissionQueues {
  private readonly queues = new Map<string, ServiceQueue>();

  private constructor(private readonly dependencies: AdmissionQueuesDependencies) {}

  /**
   * Creates queues without requests.
   * @param dependencies - What they depend on.
   */
  static create(dependencies: AdmissionQueuesDependencies): AdmissionQueues {
    return new AdmissionQueues(dependencies);
  }

  /** Checks whether the requests of a service pass a queue. */
  isUsedFor(service: string): boolean {
    return this.dependencies.workEstimator.isWorkAware(service);
  }

  /**
   * Adds a request, which may be sent or refused before this returns. Throws what its own listener throws.
   * @param service - Its service.
   * @param request - The request.
   * @param listener - Receives what becomes of it.
   */
  add(service: string, request: QueuedRequest, listener: AdmissionListener): void {
    const serviceQueue = this.getQueue(service);
    serviceQueue.listeners.set(request, listener);
    const failures = this.apply(service, serviceQueue.queue.add(request, this.getView(service)));
    this.report(failures.filter((failure) => failure.request !== request));
    const own = failures.find((failure) => failure.request === request);
    if (own !== undefined) {
      throw own.error;
    }
  }

  /**
   * Removes a request that waits; another one is ignored.
   * @param service - Its service.
   * @param request - The request.
   */
  remove(service: string, request: QueuedRequest): void {
    const { queue, listeners } = this.getQueue(service);
    if (listeners.delete(request)) {
      queue.remove(request);
      this.measure(service);
    }
  }

  /**
   * Counts the first byte of a response.
   * @param service - Service of the request.
   * @param priority - Priority of the request.
   * @param sentAt - When the request was sent.
   */
  recordFirstByte(service: string, priority: number, sentAt: number): void {
    const now = this.dependencies.getNow();
    this.getQueue(service).queue.recordFirstByte(priority, now - sentAt, now);
  }

  /**
   * Counts a request that ran to its end.
   * @param service - Its service.
   * @param priority - Its priority.
   * @param sentAt - When it was sent.
   */
  recordEnd(service: string, priority: number, sentAt: number): void {
    const now = this.dependencies.getNow();
    this.getQueue(service).queue.recordEnd(priority, now - sentAt, now);
  }

  /**
   * Sends what waits, once the current event has been handled: a retry of the request whose attempt ended comes first.
   * @param service - Service of an attempt that ended.
   */
  advanceSoon(service: string): void {
    const serviceQueue = this.getQueue(service);
    if (serviceQueue.queue.getCount() === 0 || serviceQueue.isAdvancing) {
      return;
    }
    serviceQueue.isAdvancing = true;
    queueMicrotask(() => {
      serviceQueue.isAdvancing = false;
      this.advance(service);
    });
  }

  /** Sends and refuses what waits, as is due now. */
  tick(): void {
    for (const [service, { queue }] of this.queues) {
      if (queue.getCount() > 0) {
        this.advance(service);
      }
    }
  }

  private advance(service: string): void {
    this.report(this.apply(service, this.getQueue(service).queue.advance(this.getView(service))));
  }

  private getView(service: string) {
    const { upstreams, getNow, getFleet } = this.dependencies;
    const now = getNow();
    const usable = getUsableUpstreams(upstreams.getEntries(), service, now);
    return { capacity: getServiceCapacity(usable, now), fleet: getFleet(), now };
  }

  /** Calls the listeners of requests; one that fails keeps no other from being called. */
  private apply(service: string, actions: readonly QueueAction[]): readonly ListenerFailure[] {
    const { listeners } = this.getQueue(service);
    // A listener may add or remove requests, so that each is called once the queue is consistent.
    const calls = actions.map((action) => {
      const { request } = action;
      const listener = listeners.get(request);
      listeners.delete(request);
      return { request, listener, refusal: this.createRefusal(service, action) };
    });
    this.measure(service);
    const failures: ListenerFailure[] = [];
    for (const { request, listener, refusal } of calls) {
      try {
        listener?.(refusal);
      } catch (error) {
        failures.push({ request, error });
      }
    }
    return failures;
  }

  private report(failures: readonly ListenerFailure[]): void {
    failures.forEach(({ error }) => {
      this.dependencies.onFailed(error);
    });
  }

  private createRefusal(service: string, action: QueueAction): Refusal | undefined {
    if (action.kind === "send") {
      return undefined;
    }
    const { getNow, getRandom, metrics } = this.dependencies;
    const { retryAt, reason, request } = action;
    const name = refusalNames[reason];
    metrics.queueRefusals.inc({ service, reason: name });
    const detail =
      reason === "queueFull"
        ? `the queue for service "${service}" is full`
        : `service "${service}" has no free slot before the request's deadline`;
    const retryAfterSeconds = getRetryAfterSeconds(
      retryAt,
      getNow(),
      request.priority,
      getRandom(),
    );
    return { name, detail, retryAfterSeconds };
  }

  private measure(service: string): void {
    const { queue } = this.getQueue(service);
    this.dependencies.metrics.waitingRequests.set({ service }, queue.getCount());
  }

  private getQueue(service: string): ServiceQueue {
    let serviceQueue = this.queues.get(service);
    if (serviceQueue === undefined) {
      const queue = AdmissionQueue.create({
        getFreeBytes: () => this.getFreeBytes(),
        getQueuedMilliseconds: (now) => this.getQueuedMilliseconds(service, now),
      });
      serviceQueue = { queue, listeners: new Map(), isAdvancing: false };
      this.queues.set(service, serviceQueue);
    }
    return serviceQueue;
  }

  private getFreeBytes(): number {
    const waiting = [...this.queues.values()].map(({ queue }) => queue.getBytes());
    return maxWaitingBytes - waiting.reduce((sum, bytes) => sum + bytes, 0);
  }

  private getQueuedMilliseconds(service: string, now: number): number | undefined {
    const { upstreams, workEstimator } = this.dependencies;
    const times = getUsableUpstreams(upstreams.getEntries(), service, now).flatMap(
      (entry) => workEstimator.getExpectedMilliseconds(entry, emptyWork, now) ?? [],
    );
    return times.length === 0 ? undefined : Math.min(...times);
  }
}
