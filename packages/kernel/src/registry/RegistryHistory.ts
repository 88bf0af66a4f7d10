import type { RegistryChange, RegistryUpdate } from "./messages.js";

/** Updates that are kept; a peer that follows this daemon asks about once for each. */
const maxKeptUpdates = 32;
/** Size of the kept changes, without the configuration, which is kept only once. */
const maxKeptBytes = 4_194_304;

/** Changes of the registry between two of its positions. */
interface KeptUpdate {
  readonly from: number;
  readonly to: number;
  readonly changes: readonly RegistryChange[];
  /** Size of the changes, without the configuration. */
  readonly bytes: number;
}

/**
 * Keeps the latest changes that a daemon has read, for peers that follow it in place of the registry.
 *
 * A peer whose position lies inside an update gets the whole of it: changes that are applied twice in their order end
 * in the same state. Only the newest configuration is kept, since a configuration replaces the ones before.
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

  /** Gets the size of what is kept, without the configuration, in bytes. */
  getKeptBytes(): number {
    return this.updates.reduce((sum, { bytes }) => sum + bytes, 0);
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
    const update = { from, to: position, changes, bytes: getBytes(changes) };
    const earlier = this.updates.slice(1 - maxKeptUpdates);
    const kept = changes.some(isRouting) ? earlier.map(withoutRouting) : earlier;
    this.updates = [...kept, update];
    this.dropOldest();
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

  /** Drops the oldest updates until the rest is within its bound. */
  private dropOldest(): void {
    let bytes = this.getKeptBytes();
    let dropped = 0;
    for (const update of this.updates) {
      if (bytes <= maxKeptBytes) {
        break;
      }
      bytes -= update.bytes;
      dropped += 1;
    }
    this.updates = this.updates.slice(dropped);
  }
}

function isRouting({ kind }: RegistryChange): boolean {
  return kind === "routing";
}

function withoutRouting(update: KeptUpdate): KeptUpdate {
  const changes = update.changes.filter(
    ({ kind }) => kind !== "routing" && kind !== "routingInvalid",
  );
  return changes.length === update.changes.length ? update : { ...update, changes };
}

function getBytes(changes: readonly RegistryChange[]): number {
  return changes.reduce(
    (sum, change) => sum + (isRouting(change) ? 0 : JSON.stringify(change).length),
    0,
  );
}
