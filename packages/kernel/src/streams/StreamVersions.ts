import { maxStreams, streamLifetimeMilliseconds } from "./constants.js";

interface StreamRecord {
  readonly version: string;
  readonly expiresAt: number;
}

/** The software versions at which streams began, by the id of the request that began each. */
export class StreamVersions {
  private readonly recordsById = new Map<string, StreamRecord>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty memory. */
  static create(): StreamVersions {
    return new StreamVersions();
  }

  /**
   * Records the version of a stream; a later one replaces it, as its first attempt brought no event.
   * @param id - Id of the request that began the stream.
   * @param version - Software version of the engine.
   * @param now - Current time.
   */
  add(id: string, version: string, now: number): void {
    this.recordsById.delete(id);
    this.recordsById.set(id, { version, expiresAt: now + streamLifetimeMilliseconds });
    this.dropOld(now);
  }

  /** Gets the version of a stream, if it is known. */
  get(id: string): string | undefined {
    return this.recordsById.get(id)?.version;
  }

  private dropOld(now: number): void {
    for (const [id, { expiresAt }] of this.recordsById) {
      if (now < expiresAt && this.recordsById.size <= maxStreams) {
        return;
      }
      this.recordsById.delete(id);
    }
  }
}
