import type { Clock } from "./Clock.js";

/** A request at an engine. */
export interface EngineRequest {
  readonly priority: number;
  readonly promptTokens: number;
  /** Time from the first byte to the end. */
  readonly writeMilliseconds: number;
  readonly onFirstByte: () => void;
  readonly onEnd: () => void;
}

const tokensPerMillisecond = 55;
const firstByteMilliseconds = 10;
/** Requests that wait at an engine at most, relative to its slots. */
const waitingRatio = 0.25;

/** An engine with slots, a short queue, and one reader of prompts, both by priority. */
export class FakeEngine {
  private running = 0;
  private readingEndsAt = 0;
  private waiting: EngineRequest[] = [];
  private unread: EngineRequest[] = [];

  private constructor(
    private readonly clock: Clock,
    private readonly slots: number,
  ) {}

  /** Creates an idle engine. */
  static create(clock: Clock, slots: number): FakeEngine {
    return new FakeEngine(clock, slots);
  }

  /** Gets the numbers of running and waiting requests. */
  getLoad(): { readonly running: number; readonly waiting: number } {
    return { running: this.running, waiting: this.waiting.length };
  }

  /** Gets the time until all prompts of running requests are read. */
  getReadingMilliseconds(): number {
    const unreadTokens = this.unread.reduce((sum, { promptTokens }) => sum + promptTokens, 0);
    return Math.max(0, this.readingEndsAt - this.clock.now) + unreadTokens / tokensPerMillisecond;
  }

  /** Takes a request; returns false when the queue is full. */
  take(request: EngineRequest): boolean {
    if (this.running < this.slots) {
      this.begin(request);
      return true;
    }
    if (this.waiting.length >= this.slots * waitingRatio) {
      return false;
    }
    this.waiting = [...this.waiting, request].sort((a, b) => a.priority - b.priority);
    return true;
  }

  private begin(request: EngineRequest): void {
    this.running += 1;
    this.unread = [...this.unread, request].sort((a, b) => a.priority - b.priority);
    if (this.readingEndsAt <= this.clock.now) {
      this.readNext();
    }
  }

  private readNext(): void {
    const request = this.unread.shift();
    if (request === undefined) {
      return;
    }
    this.readingEndsAt = this.clock.now + Math.max(1, request.promptTokens / tokensPerMillisecond);
    const firstByteAt = this.readingEndsAt + firstByteMilliseconds;
    this.clock.schedule(this.readingEndsAt, () => {
      this.readNext();
    });
    this.clock.schedule(firstByteAt, request.onFirstByte);
    this.clock.schedule(firstByteAt + request.writeMilliseconds, () => {
      this.end(request);
    });
  }

  private end(request: EngineRequest): void {
    this.running -= 1;
    const next = this.waiting.shift();
    if (next !== undefined) {
      this.begin(next);
    }
    request.onEnd();
  }
}
