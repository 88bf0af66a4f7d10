import type { RegistryChange, RegistryUpdate } from "./messages.js";

/** Updates that are kept; a peer that follows this daemon asks about once for each. */
const maxKeptUpdates = 32;

/** Changes of the registry between two of its positions. */
interface KeptUpdate {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly RegistryChange[];
}

/**
 * Keeps the latest changes that a daemon has read, for peers that follow it in place of the registry.
 *
 * A peer whose position lies inside an update gets the whole of it: changes that are applied twice in their order end
 * in the same state.
 */
export class RegistryHistory {
  private updates: readonly KeptUpdate[] = [];

  private constructor() {
    // Created through the static method.
  }

  /** Creates an empty history. */
  static create(): RegistryHistory {
    return new RegistryHistory();
  }

  /** Forgets all changes, since some between the kept ones and the next are not known. */
  clear(): void {
    this.updates = [];
  }

  /**
   * Adds the changes of a watch.
   * @param from - Position that the watch continued from.
   * @param update - What it returned.
   */
  add(from: number, { changes, position }: RegistryUpdate): void {
    if (this.updates.at(-1)?.to !== from) {
      this.clear();
    }
    const update = { from, to: position, changes };
    this.updates = [...this.updates.slice(1 - maxKeptUpdates), update];
  }

  /**
   * Gets the changes after a position.
   * @param position - Position of a peer in the same era.
   * @returns Undefined when not all of them are kept.
   */
  getSince(position: number): RegistryUpdate | undefined {
    const [first] = this.updates;
    const last = this.updates.at(-1);
    if (first === undefined || last === undefined || position < first.from) {
      return undefined;
    }
    const newer = this.updates.filter(({ to }) => to > position);
    return {
      changes: newer.flatMap(({ changes }) => changes),
      position: Math.max(position, last.to),
    };
  }
}
