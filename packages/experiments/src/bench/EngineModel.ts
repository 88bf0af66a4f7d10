/** Model of a batching engine: a fixed number of slots, a FIFO queue and an LRU prefix cache. */
export class EngineModel {
  /** False while the engine is leaving or down; it then refuses new requests. */
  isLive = true;
  private runningCount = 0;
  private readonly waiting: (() => void)[] = [];
  private readonly cachedTokensByPrefix = new Map<number, number>();
  private cachedTokens = 0;

  private constructor(
    readonly name: string,
    readonly zone: string,
    readonly slots: number,
    private readonly maxCachedTokens: number,
  ) {}

  /**
   * Creates an idle engine with an empty cache.
   * @param name - Name of the engine.
   * @param zone - Availability zone of the engine.
   * @param slots - Number of requests that the engine runs concurrently.
   * @param maxCachedTokens - Capacity of the prefix cache, in tokens.
   */
  static create(name: string, zone: string, slots: number, maxCachedTokens: number): EngineModel {
    return new EngineModel(name, zone, slots, maxCachedTokens);
  }

  /** Gets the number of running and waiting requests. */
  getLoad(): number {
    return this.runningCount + this.waiting.length;
  }

  /**
   * Starts a request, or queues it until a slot is free.
   * @param run - Called when the request starts.
   */
  addRequest(run: () => void): void {
    if (this.runningCount >= this.slots) {
      this.waiting.push(run);
      return;
    }
    this.runningCount += 1;
    run();
  }

  /** Frees the slot of a finished request and starts the next waiting one. */
  removeRequest(): void {
    const next = this.waiting.shift();
    if (next === undefined) {
      this.runningCount -= 1;
      return;
    }
    next();
  }

  /** Drops all requests and the cache, as a crash does. */
  reset(): void {
    this.runningCount = 0;
    this.waiting.length = 0;
    this.clearCache();
  }

  /** Empties the cache, as a restart does. */
  clearCache(): void {
    this.cachedTokensByPrefix.clear();
    this.cachedTokens = 0;
  }

  /**
   * Gets the number of cached tokens of a prefix and marks the prefix as most recently used.
   * @param prefix - Number of the prefix.
   */
  getCachedTokens(prefix: number): number {
    const tokens = this.cachedTokensByPrefix.get(prefix);
    if (tokens === undefined) {
      return 0;
    }
    this.cachedTokensByPrefix.delete(prefix);
    this.cachedTokensByPrefix.set(prefix, tokens);
    return tokens;
  }

  /**
   * Caches a prefix and evicts the least recently used ones when the cache is full.
   * @param prefix - Number of the prefix.
   * @param tokens - Length of the prefix, in tokens.
   */
  addPrefix(prefix: number, tokens: number): void {
    const cached = this.cachedTokensByPrefix.get(prefix) ?? 0;
    this.cachedTokensByPrefix.delete(prefix);
    this.cachedTokensByPrefix.set(prefix, Math.max(cached, tokens));
    this.cachedTokens += Math.max(cached, tokens) - cached;
    this.evict();
  }

  private evict(): void {
    for (const [prefix, tokens] of this.cachedTokensByPrefix) {
      if (this.cachedTokens <= this.maxCachedTokens) {
        return;
      }
      this.cachedTokensByPrefix.delete(prefix);
      this.cachedTokens -= tokens;
    }
  }
}
