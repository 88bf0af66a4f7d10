import type { RequestWork } from "@pistachioway/kernel";

/** A request that a simulated engine holds. */
export interface SimulatedRequest {
  readonly daemon: number;
  readonly engine: number;
  readonly prompt: number;
  readonly promptTokens: number;
  readonly work: RequestWork;
  readonly sentAt: number;
  /** When it was first sent, to any engine. */
  readonly arrivedAt: number;
}

interface Turn {
  readonly request: SimulatedRequest;
  /** Tokens that are left to read; undefined before its turn. */
  unreadTokens: number | undefined;
}

/** Events by which daemons hear of a simulated engine. */
export interface EngineEvents {
  readonly onFirstByte: (request: SimulatedRequest) => void;
  readonly onStreamEvent: (request: SimulatedRequest) => void;
  readonly onEnd: (request: SimulatedRequest) => void;
}

const tokensPerMillisecond = 55;
/** Own part of each prompt, which is never cached. */
const ownTokens = 300;
const streamMilliseconds = 1_500;
const decodeMilliseconds = 25;
/** Decode steps of running streams while the engine reads a prompt in chunks. */
const decodeWhileReadingMilliseconds = 80;

/** An engine that reads prompts one after another and caches them; running streams go on between the chunks. */
export class SimulatedEngine {
  /** How many times as long as usual work takes. */
  slowdown = 1;
  isDead = false;
  readTokens = 0;
  private readonly cached = new Set<number>();
  private queue: Turn[] = [];
  private streams: { readonly request: SimulatedRequest; readonly endsAt: number }[] = [];
  private decodedAt = 0;

  private constructor(private readonly events: EngineEvents) {}

  /** Creates an engine that has read nothing. */
  static create(events: EngineEvents): SimulatedEngine {
    return new SimulatedEngine(events);
  }

  /** Takes a request. */
  add(request: SimulatedRequest): void {
    this.queue.push({ request, unreadTokens: undefined });
  }

  /** Drops a request whose connection was closed. */
  cancel(request: SimulatedRequest): void {
    this.queue = this.queue.filter((turn) => turn.request !== request);
  }

  /** Gets the requests that wait or are read, the number of streams, and the slowdown. */
  getLoad(): { waiting: number; running: number; slots: number; slowdown: number } {
    const { queue, streams, slowdown } = this;
    return { waiting: queue.length, running: streams.length, slots: 64, slowdown };
  }

  /** Works for a few milliseconds. */
  step(now: number, milliseconds: number): void {
    if (this.isDead) {
      return;
    }
    this.read(now, milliseconds);
    this.decode(now);
  }

  private read(now: number, milliseconds: number): void {
    let tokens = (milliseconds * tokensPerMillisecond) / this.slowdown;
    for (;;) {
      const [turn] = this.queue;
      if (turn === undefined || tokens <= 0) {
        return;
      }
      const { request } = turn;
      const shared = this.cached.has(request.prompt) ? 0 : request.promptTokens - ownTokens;
      turn.unreadTokens ??= shared + ownTokens;
      const read = Math.min(tokens, turn.unreadTokens);
      tokens -= read;
      this.readTokens += read;
      turn.unreadTokens -= read;
      if (turn.unreadTokens > 0) {
        return;
      }
      this.queue.shift();
      this.cached.add(request.prompt);
      this.streams.push({ request, endsAt: now + streamMilliseconds });
      this.events.onFirstByte(request);
    }
  }

  private decode(now: number): void {
    const usual = this.queue.length > 0 ? decodeWhileReadingMilliseconds : decodeMilliseconds;
    if (now - this.decodedAt < usual * this.slowdown) {
      return;
    }
    this.decodedAt = now;
    const ended = this.streams.filter(({ endsAt }) => endsAt <= now);
    this.streams = this.streams.filter(({ endsAt }) => endsAt > now);
    this.streams.forEach(({ request }) => {
      this.events.onStreamEvent(request);
    });
    ended.forEach(({ request }) => {
      this.events.onEnd(request);
    });
  }
}
