const maxKeys = 4_096;
/** After this time an engine has likely dropped the prefix, in milliseconds. */
const keptMilliseconds = 60_000;

interface Home {
  readonly upstreamId: string;
  readonly usedAt: number;
}

/** Remembers which engine last read the prompts of a key, for the keys used last. */
export class Homes {
  private readonly homesByKey = new Map<string, Home>();

  private constructor(private readonly getNow: () => number) {}

  /**
   * Creates an empty memory.
   * @param getNow - Reads the steady clock, in milliseconds.
   */
  static create(getNow: () => number): Homes {
    return new Homes(getNow);
  }

  /** Gets the id of the engine that last served a key. */
  get(key: string): string | undefined {
    const home = this.homesByKey.get(key);
    return home !== undefined && this.getNow() - home.usedAt < keptMilliseconds
      ? home.upstreamId
      : undefined;
  }

  /** Notes the engine that serves a key now. */
  set(key: string, upstreamId: string, usedAt: number): void {
    this.homesByKey.delete(key);
    this.homesByKey.set(key, { upstreamId, usedAt });
    if (this.homesByKey.size > maxKeys) {
      const [oldest = ""] = this.homesByKey.keys();
      this.homesByKey.delete(oldest);
    }
  }
}
