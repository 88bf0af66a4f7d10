import { ProcessWatch, type ProcessWatchOptions } from "./ProcessWatch.js";

/** The use of a watch by one answer. */
export interface ProcessWatchUse {
  readonly watch: ProcessWatch;
  /** Ends the use; more than one call has no effect. */
  readonly release: () => void;
}

/** Keeps the watches of processes, one for each address, while answers need them. */
export class ProcessWatches {
  private readonly watchesByAddress = new Map<string, ProcessWatch>();

  private constructor() {
    // Instances are made by create.
  }

  /** Creates an empty set. */
  static create(): ProcessWatches {
    return new ProcessWatches();
  }

  /** Gets the number of processes that are watched. */
  getCount(): number {
    return this.watchesByAddress.size;
  }

  /**
   * Uses the watch of an address, starting it where there is none.
   * @param options - Address, and how its process is asked.
   */
  use(options: ProcessWatchOptions): ProcessWatchUse {
    const { address } = options;
    const watch = this.watchesByAddress.get(address) ?? ProcessWatch.start(options);
    this.watchesByAddress.set(address, watch);
    watch.addUser();
    let isReleased = false;
    const release = (): void => {
      if (!isReleased) {
        isReleased = true;
        this.remove(address, watch);
      }
    };
    return { watch, release };
  }

  private remove(address: string, watch: ProcessWatch): void {
    if (watch.removeUser()) {
      this.watchesByAddress.delete(address);
    }
  }
}
