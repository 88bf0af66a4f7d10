import type { Generation } from "./Generation.js";
import type { PrefixCache } from "./PrefixCache.js";
import type { EngineSettings } from "./schema.js";

/** Runs generations in steps of one token each; those without a free slot wait by priority. */
export class Batch {
  private readonly running = new Set<Generation>();
  private readonly waiting: Generation[] = [];
  private timer: NodeJS.Timeout | undefined;
  private isFrozen = false;

  private constructor(
    private readonly settings: EngineSettings,
    private readonly cache: PrefixCache,
  ) {}

  /**
   * Creates an empty batch.
   * @param settings - Slots, queue length and step duration.
   * @param cache - Prefix cache of the engine.
   */
  static create(settings: EngineSettings, cache: PrefixCache): Batch {
    return new Batch(settings, cache);
  }

  /** Checks whether every slot and every place in the queue is taken. */
  isFull(): boolean {
    const { slots, maxWaiting } = this.settings;
    return this.running.size >= slots && this.waiting.length >= maxWaiting;
  }

  /** Gets the numbers of running and waiting requests. */
  getCounts(): { running: number; waiting: number } {
    return { running: this.running.size, waiting: this.waiting.length };
  }

  /**
   * Adds a generation, which starts at once when a slot is free.
   * @param generation - Generation to add.
   */
  addGeneration(generation: Generation): void {
    const lowerPriorityIndex = this.waiting.findIndex(
      ({ priority }) => priority < generation.priority,
    );
    this.waiting.splice(
      lowerPriorityIndex === -1 ? this.waiting.length : lowerPriorityIndex,
      0,
      generation,
    );
    this.fillSlots();
    this.schedule();
  }

  /**
   * Removes a cancelled generation.
   * @param generation - Generation to remove.
   */
  removeGeneration(generation: Generation): void {
    this.running.delete(generation);
    const index = this.waiting.indexOf(generation);
    if (index !== -1) {
      this.waiting.splice(index, 1);
    }
    this.fillSlots();
  }

  /**
   * Suspends or resumes all computation.
   * @param isFrozen - Whether computation is suspended.
   */
  setFrozen(isFrozen: boolean): void {
    this.isFrozen = isFrozen;
    this.schedule();
  }

  /** Stops the batch permanently. */
  close(): void {
    clearTimeout(this.timer);
    this.isFrozen = true;
  }

  private fillSlots(): void {
    while (this.running.size < this.settings.slots) {
      const next = this.waiting.shift();
      if (next === undefined) {
        return;
      }
      next.start(this.cache.getCachedTokens(next.chat, next.promptWords));
      this.running.add(next);
    }
  }

  private schedule(): void {
    if (this.timer === undefined && !this.isFrozen && this.running.size > 0) {
      this.timer = setTimeout(() => {
        this.step();
      }, this.settings.tokenMilliseconds);
    }
  }

  private step(): void {
    this.timer = undefined;
    if (this.isFrozen) {
      return;
    }
    for (const generation of this.running) {
      generation.step(this.settings.prefillTokensPerStep);
      if (generation.state === "done") {
        this.running.delete(generation);
        this.cache.store(generation.chat, generation.getCacheableWords(), Date.now());
      }
    }
    this.fillSlots();
    this.schedule();
  }
}
