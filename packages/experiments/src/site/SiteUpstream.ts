import type { Upstream } from "@pistachioway/kernel";
import type { EventQueue } from "../bench/EventQueue.js";
import { PromptCache } from "./PromptCache.js";
import type { SiteRequest } from "./SiteRequest.js";

/** How fast an upstream is, and how much it holds. */
export interface UpstreamTraits {
  readonly slots: number;
  /** Requests that may wait for a slot; one more is refused. */
  readonly queue: number;
  /** Time of a plain answer. */
  readonly workMilliseconds: number;
  readonly cacheTokens: number;
}

/** What an upstream tells of a request that it took. */
export interface RunListener {
  /** The first byte of the answer. */
  readonly onFirst: (tokensRead: number) => void;
  readonly onEnd: () => void;
  /** The upstream is lost while it works on the request. */
  readonly onLost: () => void;
}

interface Run {
  readonly request: SiteRequest;
  readonly fetched: number;
  readonly listener: RunListener;
  isOver: boolean;
}

const stepMilliseconds = 2.77;
const prefillTokensPerMillisecond = 85.2;
const fetchTokensPerMillisecond = 284;
const eventTokens = 7;
/** A step of a full batch takes this many times longer than a step of one request. */
const fullBatchFactor = 1.6;

/** An emulated engine or plain server: slots, a queue by priority, prefill in turn, a cache. */
export class SiteUpstream {
  isAlive = true;
  /** Times slower than usual. */
  slowness = 1;
  readonly cache: PromptCache;
  private readonly running = new Set<Run>();
  private readonly waiting: Run[] = [];
  private prefillFreeAt = 0;

  private constructor(
    public record: Upstream,
    private readonly traits: UpstreamTraits,
    private readonly events: EventQueue,
  ) {
    this.cache = PromptCache.create(traits.cacheTokens);
  }

  /**
   * Creates an upstream without requests.
   * @param record - What it says of itself.
   * @param traits - Its speed and size.
   * @param events - Queue of the run.
   */
  static create(record: Upstream, traits: UpstreamTraits, events: EventQueue): SiteUpstream {
    return new SiteUpstream(record, traits, events);
  }

  /** Gets the requests that run or wait. */
  getLoad(): number {
    return this.running.size + this.waiting.length;
  }

  /**
   * Takes a request, unless too many wait.
   * @param request - The request.
   * @param fetched - Tokens of its prompt that another engine hands over.
   * @param listener - Hears of the run.
   * @returns A function that ends the run early; undefined when the request is refused.
   */
  take(request: SiteRequest, fetched: number, listener: RunListener): (() => void) | undefined {
    if (this.running.size >= this.traits.slots && this.waiting.length >= this.traits.queue) {
      return undefined;
    }
    const run: Run = { request, fetched, listener, isOver: false };
    this.waiting.push(run);
    this.waiting.sort((a, b) => a.request.kind.priority - b.request.kind.priority);
    this.startWaiting();
    return () => {
      this.end(run);
    };
  }

  /** Loses every request, as a crash does. */
  crash(): void {
    this.isAlive = false;
    for (const run of [...this.running, ...this.waiting]) {
      run.isOver = true;
      run.listener.onLost();
    }
    this.running.clear();
    this.waiting.length = 0;
  }

  private startWaiting(): void {
    while (this.running.size < this.traits.slots) {
      const run = this.waiting.shift();
      if (run === undefined) {
        return;
      }
      this.running.add(run);
      this.start(run);
    }
  }

  private start(run: Run): void {
    const { kind, parts } = run.request;
    if (kind.events === 0) {
      this.after(run, this.traits.workMilliseconds * this.slowness, () => {
        run.listener.onFirst(0);
        this.finish(run);
      });
      return;
    }
    const prompt = parts.reduce((sum, { tokens }) => sum + tokens, 0);
    const kept = Math.max(this.cache.getKeptTokens(parts), run.fetched);
    const isFetched = run.fetched > this.cache.getKeptTokens(parts);
    this.cache.addParts(parts);
    const fetchMilliseconds = isFetched ? run.fetched / fetchTokensPerMillisecond : 0;
    const readMilliseconds = ((prompt - kept) / prefillTokensPerMillisecond) * this.slowness;
    const now = this.events.getNow();
    this.prefillFreeAt = Math.max(now + fetchMilliseconds, this.prefillFreeAt) + readMilliseconds;
    const eventMilliseconds = this.getEventMilliseconds();
    this.after(run, this.prefillFreeAt - now + eventMilliseconds, () => {
      run.listener.onFirst(prompt - kept);
      this.after(run, (kind.events - 1) * eventMilliseconds, () => {
        this.finish(run);
      });
    });
  }

  private getEventMilliseconds(): number {
    const fullness = this.running.size / this.traits.slots;
    const factor = 1 + (fullBatchFactor - 1) * fullness;
    return eventTokens * stepMilliseconds * factor * this.slowness;
  }

  private finish(run: Run): void {
    this.end(run);
    run.listener.onEnd();
  }

  private end(run: Run): void {
    if (run.isOver) {
      return;
    }
    run.isOver = true;
    this.running.delete(run);
    const position = this.waiting.indexOf(run);
    if (position >= 0) {
      this.waiting.splice(position, 1);
    }
    this.startWaiting();
  }

  private after(run: Run, milliseconds: number, act: () => void): void {
    this.events.addEvent(this.events.getNow() + milliseconds, () => {
      if (!run.isOver) {
        act();
      }
    });
  }
}
