/** Time after a pause in which what is read may have come during the pause, in milliseconds. */
const backlogMilliseconds = 100;

/** Records when a connection was not read, since its end may have come then. Instants are monotonic milliseconds. */
export class ReadPauses {
  private isPaused = false;
  private firstPausedAt = -Infinity;
  private resumedAt = -Infinity;

  private constructor(private readonly getNow: () => number) {}

  /**
   * Creates a record without pauses.
   * @param getNow - Reads the monotonic clock.
   */
  static create(getNow: () => number): ReadPauses {
    return new ReadPauses(getNow);
  }

  /** Records that the connection is not read any more. */
  recordPause(): void {
    const now = this.getNow();
    if (!this.isPaused && now - this.resumedAt > backlogMilliseconds) {
      this.firstPausedAt = now;
    }
    this.isPaused = true;
  }

  /** Records that the connection is read again. */
  recordResume(): void {
    if (this.isPaused) {
      this.resumedAt = this.getNow();
    }
    this.isPaused = false;
  }

  /** Gets the earliest instant at which an end may have come that is read now. */
  getEarliestEnd(): number {
    const now = this.getNow();
    const isRecent = this.isPaused || now - this.resumedAt <= backlogMilliseconds;
    return isRecent ? this.firstPausedAt : now;
  }
}
