import type { Upstream } from "@pistachioway/kernel";
import type { EventQueue } from "../bench/EventQueue.js";
import { PromptCache } from "./PromptCache.js";
import type { SiteRequest } from "./SiteRequest.js";

/** Speed and capacity of an upstream. */
export interface UpstreamTraits {
  readonly slots: number;
  /** Number of requests that may wait for a slot; further requests are refused. */
  readonly queueCapacity: number;
  /** Time to work on a plain request. */
  readonly plainResponseMilliseconds: number;
  readonly cacheCapacityTokens: number;
}

/** Receives the progress of a request that an upstream accepted. */
export interface RunListener {
  /** The upstream begins to work on the request. */
  readonly onStart: () => void;
  /** The first byte of the response is sent. */
  readonly onFirstByte: (prefilledTokens: number) => void;
  readonly onEnd: () => void;
  /** The upstream crashes before the end of the response. */
  readonly onLost: () => void;
}

interface RequestRun {
  readonly request: SiteRequest;
  readonly transferableTokens: number;
  readonly listener: RunListener;
  isOver: boolean;
}

const stepMilliseconds = 2.77;
const prefillTokensPerMillisecond = 85.2;
const transferTokensPerMillisecond = 284;
const eventTokens = 7;
/** Duration of a step of a full batch, as a multiple of that of a step of one request. */
const fullBatchFactor = 1.6;

/**
 * An emulated engine or plain server with slots, a queue by priority and a prompt cache.
 * It prefills one prompt at a time.
 */
export class SiteUpstream {
  isReachable = true;
  /** Multiple of the usual duration of all work. */
  slowness = 1;
  readonly cache: PromptCache;
  private readonly running = new Set<RequestRun>();
  private readonly waiting: RequestRun[] = [];
  private prefillFreeAt = 0;

  private constructor(
    public record: Upstream,
    private readonly traits: UpstreamTraits,
    private readonly events: EventQueue,
  ) {
    this.cache = PromptCache.create(traits.cacheCapacityTokens);
  }

  /**
   * Creates an upstream without requests.
   * @param record - Its record in the registry.
   * @param traits - Its speed and capacity.
   * @param events - Event queue of the simulation.
   */
  static create(record: Upstream, traits: UpstreamTraits, events: EventQueue): SiteUpstream {
    return new SiteUpstream(record, traits, events);
  }

  /** Gets the number of requests that run or wait. */
  getLoad(): number {
    return this.running.size + this.waiting.length;
  }

  /**
   * Accepts a request, unless the queue is full.
   * @param request - The request.
   * @param transferableTokens - Tokens of its prompt that another engine can transfer.
   * @param listener - Receives the progress of the request.
   * @returns A function that cancels the request; undefined if the request is refused.
   */
  startOrRefuse(
    request: SiteRequest,
    transferableTokens: number,
    listener: RunListener,
  ): (() => void) | undefined {
    if (
      this.running.size >= this.traits.slots &&
      this.waiting.length >= this.traits.queueCapacity
    ) {
      return undefined;
    }
    const run: RequestRun = { request, transferableTokens, listener, isOver: false };
    this.waiting.push(run);
    this.waiting.sort((a, b) => a.request.kind.priority - b.request.kind.priority);
    this.startWaitingRuns();
    return () => {
      this.removeRun(run);
    };
  }

  /** Crashes: every request is lost, and the upstream can't be reached any more. */
  crash(): void {
    this.isReachable = false;
    for (const run of [...this.running, ...this.waiting]) {
      run.isOver = true;
      run.listener.onLost();
    }
    this.running.clear();
    this.waiting.length = 0;
  }

  private startWaitingRuns(): void {
    while (this.running.size < this.traits.slots) {
      const run = this.waiting.shift();
      if (run === undefined) {
        return;
      }
      this.running.add(run);
      this.startRun(run);
    }
  }

  private startRun(run: RequestRun): void {
    const { kind, blocks } = run.request;
    run.listener.onStart();
    if (kind.events === 0) {
      this.scheduleForRun(run, this.traits.plainResponseMilliseconds * this.slowness, () => {
        run.listener.onFirstByte(0);
        this.finishRun(run);
      });
      return;
    }
    const promptTokens = blocks.reduce((sum, { tokens }) => sum + tokens, 0);
    const foundTokens = Math.max(this.cache.getCachedTokens(blocks), run.transferableTokens);
    const isTransferred = run.transferableTokens > this.cache.getCachedTokens(blocks);
    this.cache.addBlocks(blocks);
    const transferMilliseconds = isTransferred
      ? run.transferableTokens / transferTokensPerMillisecond
      : 0;
    const prefillMilliseconds =
      ((promptTokens - foundTokens) / prefillTokensPerMillisecond) * this.slowness;
    const now = this.events.getNow();
    this.prefillFreeAt =
      Math.max(now + transferMilliseconds, this.prefillFreeAt) + prefillMilliseconds;
    const eventMilliseconds = this.getEventMilliseconds();
    this.scheduleForRun(run, this.prefillFreeAt - now + eventMilliseconds, () => {
      run.listener.onFirstByte(promptTokens - foundTokens);
      this.scheduleForRun(run, (kind.events - 1) * eventMilliseconds, () => {
        this.finishRun(run);
      });
    });
  }

  private getEventMilliseconds(): number {
    const fillRatio = this.running.size / this.traits.slots;
    const factor = 1 + (fullBatchFactor - 1) * fillRatio;
    return eventTokens * stepMilliseconds * factor * this.slowness;
  }

  private finishRun(run: RequestRun): void {
    this.removeRun(run);
    run.listener.onEnd();
  }

  private removeRun(run: RequestRun): void {
    if (run.isOver) {
      return;
    }
    run.isOver = true;
    this.running.delete(run);
    const position = this.waiting.indexOf(run);
    if (position >= 0) {
      this.waiting.splice(position, 1);
    }
    this.startWaitingRuns();
  }

  private scheduleForRun(run: RequestRun, milliseconds: number, action: () => void): void {
    this.events.addEvent(this.events.getNow() + milliseconds, () => {
      if (!run.isOver) {
        action();
      }
    });
  }
}
