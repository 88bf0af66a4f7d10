import { takeRetryAt, type RefusalAccount } from "../fairness/index.js";
import { CapacityShare, type FleetSize } from "./CapacityShare.js";
import type { QueueAction, QueuedRequest, QueueRefusalReason } from "./QueuedRequest.js";
import type { ServiceCapacity } from "./ServiceCapacity.js";
import { ServiceRates } from "./ServiceRates.js";
import { WaitingQueue } from "./WaitingQueue.js";

/** What an admission queue depends on. */
export interface AdmissionQueueOptions {
  /** Gets the size of bodies that may still be kept while their requests wait, in this queue and others. */
  readonly getFreeBytes: () => number;
  /**
   * Gets the shortest time to the first byte, over the usable upstreams, of a request without unread tokens: the time
   * that prompts queued at every upstream take. Undefined when it cannot be estimated.
   */
  readonly getQueuedMilliseconds: (now: number) => number | undefined;
}

/** What is known at the instant of a decision. */
export interface AdmissionView {
  readonly capacity: ServiceCapacity;
  readonly fleet: FleetSize;
  /** Monotonic time. */
  readonly now: number;
}

/** Bounds of the length of a queue, whatever the daemon's limit is. */
const minWaitingRequests = 8;
const maxWaitingRequests = 256;
/** Longest queue for each request that may be in flight: the last one then waits for about eight run times. */
const waitingRatio = 8;
const mostUrgentPriority = 0;
/** Part of the tightest objective of more urgent requests that the reading queued before them may take. */
const maxReadingRatio = 0.5;

/** Decides which requests of one daemon for one service are sent, wait, or are refused. */
export class AdmissionQueue {
  private readonly share = CapacityShare.create();
  private readonly rates = ServiceRates.create();
  private readonly queue = WaitingQueue.create((priority) =>
    this.rates.getFirstByteMilliseconds(priority),
  );
  private readonly refusals = new Map<number, RefusalAccount>();

  private constructor(private readonly options: AdmissionQueueOptions) {}

  /**
   * Creates an empty queue.
   * @param options - What it depends on.
   */
  static create(options: AdmissionQueueOptions): AdmissionQueue {
    return new AdmissionQueue(options);
  }

  /** Gets the number of requests that wait. */
  getCount(): number {
    return this.queue.getCount();
  }

  /** Gets the size of the bodies of the requests that wait. */
  getBytes(): number {
    return this.queue.getBytes();
  }

  /**
   * Adds a request, and gets what becomes of it and of others; one that is not named waits.
   * @param request - Request that has arrived.
   * @param view - What the decision goes by.
   */
  add(request: QueuedRequest, view: AdmissionView): readonly QueueAction[] {
    const { priority, arrivedAt, goalAt } = request;
    this.rates.addArrival(priority, goalAt - arrivedAt, view.now);
    this.queue.add(request);
    return this.advance(view);
  }

  /** Removes a request that waits, because its caller has left or its time is over. */
  remove(request: QueuedRequest): void {
    this.queue.remove(request);
  }

  /**
   * Counts the first byte of a response.
   * @param priority - Priority of the request.
   * @param milliseconds - Time since its sending.
   * @param now - Monotonic time.
   */
  recordFirstByte(priority: number, milliseconds: number, now: number): void {
    this.rates.addFirstByte(priority, milliseconds, now);
  }

  /**
   * Counts a request that ran to its end.
   * @param priority - Priority of the request.
   * @param milliseconds - Time from its sending to its end.
   * @param now - Monotonic time.
   */
  recordEnd(priority: number, milliseconds: number, now: number): void {
    this.rates.addEnd(priority, milliseconds, now);
  }

  /**
   * Gets the requests that are to be sent or refused now, and removes them.
   * @param view - What the decision goes by.
   */
  advance(view: AdmissionView): readonly QueueAction[] {
    const { capacity, fleet, now } = view;
    this.share.update(capacity, fleet, now);
    if (this.queue.getCount() === 0) {
      return [];
    }
    const ordered = this.queue.getOrdered(now);
    const sent = this.sendWaiting(ordered, capacity.running, now);
    // Nothing is refused while much is free.
    if (this.share.isAmple()) {
      return sent;
    }
    const waiting = ordered.filter((request) => this.queue.has(request));
    return [...sent, ...this.refuseWaiting(waiting, now)];
  }

  private sendWaiting(
    ordered: readonly QueuedRequest[],
    running: number,
    now: number,
  ): readonly QueueAction[] {
    const isAmple = this.share.isAmple();
    const queuedMilliseconds = this.options.getQueuedMilliseconds(now) ?? 0;
    const actions: QueueAction[] = [];
    for (const request of ordered) {
      const isWithinLimit = running + actions.length < this.share.getLimit(request.priority);
      if (!isAmple && !isWithinLimit) {
        break;
      }
      const isInTime = request.sendBy > now;
      const mustSend = isAmple && (!isInTime || this.isFull());
      if (mustSend || (isInTime && !this.mustYield(request, queuedMilliseconds, now))) {
        this.queue.take(request);
        actions.push({ kind: "send", request });
      }
    }
    return actions;
  }

  /**
   * Checks whether a request has to wait although slots are free, since the prompts queued at every upstream would make
   * more urgent requests late. It has to no longer once its own objective has passed.
   */
  private mustYield({ priority, goalAt }: QueuedRequest, queued: number, now: number): boolean {
    const goal = this.rates.getUrgentGoal(priority, now);
    return goal !== undefined && now < goalAt && queued > goal * maxReadingRatio;
  }

  private isFull(): boolean {
    const limit = Math.floor(this.share.getLimit(mostUrgentPriority) * waitingRatio);
    const maxCount = Math.min(maxWaitingRequests, Math.max(minWaitingRequests, limit));
    return this.queue.getCount() > maxCount || this.options.getFreeBytes() < 0;
  }

  /** Refuses requests that would begin too late and, from the end of the order, those that exceed the queue's bounds. */
  private refuseWaiting(waiting: readonly QueuedRequest[], now: number): readonly QueueAction[] {
    const actions: QueueAction[] = [];
    const kept: { readonly request: QueuedRequest; readonly turnAt: number }[] = [];
    let workAhead = 0;
    for (const request of waiting) {
      const work = workAhead + this.rates.getRunMilliseconds(request.priority);
      const turnAt = this.getTurnAt(request, work, now);
      if (request.sendBy <= now || turnAt > request.sendBy) {
        actions.push(this.refuse(request, "tooLate", turnAt, now));
      } else {
        kept.push({ request, turnAt });
        workAhead = work;
      }
    }
    for (let last = kept.pop(); last !== undefined && this.isFull(); last = kept.pop()) {
      actions.push(this.refuse(last.request, "queueFull", last.turnAt, now));
    }
    return actions;
  }

  /**
   * Gets when a request is expected to have a slot. Arrivals of more urgent priorities go before it; before one that is
   * late for its objective, arrivals of its own priority go, too.
   * @param request - The request.
   * @param work - Milliseconds that the requests ahead and this one run, summed over all slots.
   * @param now - Monotonic time.
   */
  private getTurnAt(request: QueuedRequest, work: number, now: number): number {
    const { priority } = request;
    const limit = this.share.getLimit(priority);
    const firstBehind = this.queue.isLate(request, now) ? priority + 1 : priority;
    return now + work / (limit * this.rates.getRemainingRatio(firstBehind, limit, now));
  }

  private refuse(
    request: QueuedRequest,
    reason: QueueRefusalReason,
    turnAt: number,
    now: number,
  ): QueueAction {
    const { priority } = request;
    this.queue.remove(request);
    let account = this.refusals.get(priority);
    if (account === undefined) {
      account = { lastRetryAt: now };
      this.refusals.set(priority, account);
    }
    const requestMilliseconds =
      this.rates.getRunMilliseconds(priority) / this.share.getLimit(priority);
    return {
      kind: "refuse",
      request,
      reason,
      retryAt: takeRetryAt(account, turnAt, requestMilliseconds, now),
    };
  }
}
