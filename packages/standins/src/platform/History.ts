/** A published value and the revision that the platform assigned to it. */
export interface Version<Value> {
  readonly revision: number;
  readonly value: Value;
}

/** Published versions of one value; readers can wait for a change of the served version. */
export class History<Value> {
  private versions: Version<Value>[] = [];
  private staleRevision: number | undefined;
  private readonly wakeWatchers = new Set<() => void>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates a history without a version. */
  static create<Value>(): History<Value> {
    return new History<Value>();
  }

  /** Gets the newest version, whether it is served or not. */
  getNewest(): Version<Value> | undefined {
    return this.versions.at(-1);
  }

  /** Gets the version that readers receive: the newest, unless a stale revision is set. */
  getServed(): Version<Value> | undefined {
    if (this.staleRevision === undefined) {
      return this.getNewest();
    }
    return this.versions.findLast((version) => version.revision <= (this.staleRevision ?? 0));
  }

  /**
   * Adds a version and returns its revision.
   * @param value - Value to publish.
   */
  addVersion(value: Value): number {
    const revision = (this.getNewest()?.revision ?? 0) + 1;
    this.versions.push({ revision, value });
    this.wakeAll();
    return revision;
  }

  /**
   * Serves the newest version up to a revision; `undefined` serves the newest again.
   * @param revision - Highest revision to serve.
   */
  setStaleRevision(revision: number | undefined): void {
    this.staleRevision = revision;
    this.wakeAll();
  }

  /** Deletes every version; the next one gets revision 1 again. */
  wipe(): void {
    this.versions = [];
    this.wakeAll();
  }

  /**
   * Deletes the versions after a revision; their revisions are assigned again.
   * @param revision - Revision that becomes the newest.
   */
  restore(revision: number): void {
    this.versions = this.versions.filter((version) => version.revision <= revision);
    this.wakeAll();
  }

  /**
   * Waits until the served revision differs from the reader's, and returns whether it does.
   * @param revision - Revision that the reader has.
   * @param waitMilliseconds - Longest time to wait.
   * @param signal - Ends the wait when the reader disconnects.
   * @param isDown - Ends the wait when it returns true; checked each time the watchers are woken.
   */
  async waitForChange(
    revision: number,
    waitMilliseconds: number,
    signal: AbortSignal,
    isDown: () => boolean,
  ): Promise<boolean> {
    const isWaiting = () => !this.isChanged(revision) && !signal.aborted && !isDown();
    const waitUntil = Date.now() + waitMilliseconds;
    while (isWaiting() && Date.now() < waitUntil) {
      await this.waitForWake(waitUntil - Date.now(), signal);
    }
    return this.isChanged(revision);
  }

  /** Gets the number of waiting readers. */
  getWatcherCount(): number {
    return this.wakeWatchers.size;
  }

  /** Wakes every watcher, so that it checks its condition again. */
  wakeAll(): void {
    for (const wakeWatcher of [...this.wakeWatchers]) {
      wakeWatcher();
    }
  }

  private isChanged(revision: number): boolean {
    return (this.getServed()?.revision ?? 0) !== revision;
  }

  private waitForWake(milliseconds: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const wakeWatcher = () => {
        clearTimeout(timer);
        signal.removeEventListener("abort", wakeWatcher);
        this.wakeWatchers.delete(wakeWatcher);
        resolve();
      };
      const timer = setTimeout(wakeWatcher, milliseconds);
      signal.addEventListener("abort", wakeWatcher);
      this.wakeWatchers.add(wakeWatcher);
    });
  }
}
