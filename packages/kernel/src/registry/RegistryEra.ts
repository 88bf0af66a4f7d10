/**
 * Time after a restoration of the registry in which its writers may still have to repeat what was
 * lost.
 */
const settlingMilliseconds = 2_000;

/** How the era of a response compares with the newest one known. */
export type EraComparison = "same" | "older" | "newer";

/**
 * Follows the era of the registry, and decides when its content confirms a configuration.
 *
 * A registry that was restored from an older copy lacks writes that it had acknowledged, such as the
 * revocation of a key. Its content therefore confirms nothing until the configuration was written
 * again, or until the time for that has passed and the content is not older than the configuration
 * in force. Times are monotonic milliseconds.
 */
export class RegistryEra {
  private era: number | undefined;
  private wasRestored = false;
  private settlesAt = -Infinity;
  private listedVersion = -1;

  private constructor() {
    // Created through the static method.
  }

  /** Creates a follower that knows no era. */
  static create(): RegistryEra {
    return new RegistryEra();
  }

  /** Gets the newest era; undefined when the registry states none. */
  getEra(): number | undefined {
    return this.era;
  }

  /**
   * Compares the era of a response with the newest one known, which it becomes if it is newer.
   * @param era - Era of the response; undefined when it states none.
   * @param now - Current time.
   */
  observe(era: number | undefined, now: number): EraComparison {
    if (era === undefined || era === this.era) {
      return "same";
    }
    if (this.era === undefined) {
      this.era = era;
      return "same";
    }
    if (era < this.era) {
      return "older";
    }
    this.era = era;
    this.wasRestored = true;
    this.settlesAt = now + settlingMilliseconds;
    this.listedVersion = -1;
    return "newer";
  }

  /**
   * Records the version of the configuration that the registry lists in the newest era.
   * @param version - Version that was read.
   * @param isNewWrite - Whether it was written in this era, rather than found in the restored copy.
   */
  recordListedVersion(version: number, isNewWrite: boolean): void {
    this.listedVersion = version;
    if (isNewWrite) {
      this.settlesAt = -Infinity;
    }
  }

  /**
   * Gets the time for which the registry may still lack writes that it had acknowledged.
   * @param now - Current time.
   */
  getSettlingMilliseconds(now: number): number {
    return Math.max(0, this.settlesAt - now);
  }

  /**
   * Checks whether the content of the registry confirms that a version is the newest.
   * @param version - Version in force.
   * @param now - Current time.
   */
  canConfirm(version: number, now: number): boolean {
    return !this.wasRestored || (now >= this.settlesAt && this.listedVersion >= version);
  }
}
