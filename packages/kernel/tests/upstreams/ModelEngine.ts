/** One block of a prompt. */
export interface ModelBlock {
  readonly id: string;
  readonly tokens: number;
}

export const tokensPerMillisecond = 55;
const overheadMilliseconds = 10;
const fetchMillisecondsPerToken = 3 / 10_000;
const failedFetchMilliseconds = 10;

/** An engine that reads one prompt after the other and caches every block that it has read. */
export class ModelEngine {
  isGone = false;
  /** Requests that it still refuses. */
  refusals = 0;
  /** Requests that it holds. */
  held = 0;
  /** Those of them that have not begun to be answered. */
  waiting = 0;
  /** How many times as long as usual work takes at a time. */
  getSlowdown: (now: number) => number = () => 1;
  /** Blocks that it has cached or will have when it reads the next prompt. */
  private readonly planned = new Set<string>();
  private readonly cached = new Set<string>();
  private freeAt = 0;

  private constructor() {
    // Created through the static method.
  }

  static create(): ModelEngine {
    return new ModelEngine();
  }

  /** Caches blocks, as if it had read them before. */
  warm(blocks: readonly ModelBlock[]): void {
    blocks.forEach(({ id }) => {
      this.planned.add(id);
      this.cached.add(id);
    });
  }

  /**
   * Queues a prompt, and gets what is read and when that ends.
   * @param blocks - Blocks of the prompt.
   * @param source - Engine to fetch from.
   */
  read(
    blocks: readonly ModelBlock[],
    source: ModelEngine | undefined,
    now: number,
  ): { readonly blocks: readonly ModelBlock[]; readonly tokens: number; readonly endsAt: number } {
    const isSourceGone = source?.isGone === true;
    const missing = blocks.filter(({ id }) => !this.planned.has(id));
    const fetched = missing.filter(({ id }) => !isSourceGone && source?.cached.has(id) === true);
    const unread = missing.filter((block) => !fetched.includes(block));
    const tokens = sum(unread);
    const milliseconds =
      overheadMilliseconds +
      (isSourceGone ? failedFetchMilliseconds : 0) +
      sum(fetched) * fetchMillisecondsPerToken +
      (tokens / tokensPerMillisecond) * this.getSlowdown(now);
    this.freeAt = Math.max(now, this.freeAt) + milliseconds;
    missing.forEach(({ id }) => this.planned.add(id));
    return { blocks: unread, tokens, endsAt: this.freeAt };
  }

  /** Caches the blocks of a prompt that was read. */
  finishReading(blocks: readonly ModelBlock[]): void {
    blocks.forEach(({ id }) => this.cached.add(id));
  }
}

function sum(blocks: readonly ModelBlock[]): number {
  return blocks.reduce((total, { tokens }) => total + tokens, 0);
}
