import type { HistoryLost, MemberState, Registry, RegistryUpdate } from "@pistachioway/kernel";
import type { Fields, LogLevel } from "../log/line.js";
import type { RelayedUpdate } from "./relayedUpdate.js";

/** Time for which a reader that did not answer in time, or only with old content, is not asked again. */
const exclusionMilliseconds = 3_000;
/** Age of a reader's content at which the registry is asked instead: the reader may have lost it. */
const maxAgeMilliseconds = 1_600;

/** Dependencies of a registry that follows readers. */
export interface FollowingRegistryDependencies {
  /** The registry itself. */
  readonly registry: Registry;
  /** Chooses the reader to follow; undefined when this daemon reads the registry itself. */
  readonly chooseReader: (isExcluded: (address: string) => boolean) => MemberState | undefined;
  /** Requests the changes that a reader has read after a position. */
  readonly fetchUpdate: (
    address: string,
    position: number,
    signal: AbortSignal,
  ) => Promise<RelayedUpdate>;
  readonly getNow: () => number;
  /** Counts the calls of readers by result. */
  readonly onCall: (result: "ok" | "failed") => void;
  readonly record: (level: LogLevel, event: string, fields: Fields) => void;
}

/**
 * The registry as a daemon sees it that follows a reader of its zone: changes come from the reader while it answers with
 * fresh content, and from the registry otherwise. The whole content always comes from the registry itself.
 */
export class FollowingRegistry implements Registry {
  private readonly excludedUntil = new Map<string, number>();
  private followed: string | undefined;

  private constructor(private readonly dependencies: FollowingRegistryDependencies) {}

  /**
   * Creates a registry that follows no reader yet.
   * @param dependencies - Dependencies of the registry.
   */
  static create(dependencies: FollowingRegistryDependencies): FollowingRegistry {
    return new FollowingRegistry(dependencies);
  }

  readAll = (signal: AbortSignal): Promise<RegistryUpdate | HistoryLost> =>
    this.dependencies.registry.readAll(signal);

  watch = async (
    position: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ): Promise<RegistryUpdate | HistoryLost> => {
    const reader = this.dependencies.chooseReader((address) => this.isExcluded(address));
    const update = reader && (await this.fetchUpdate(reader, position, signal));
    return update ?? this.dependencies.registry.watch(position, waitMilliseconds, signal);
  };

  /** Gets the changes from a reader; undefined when it cannot tell them, or its content is too old. */
  private async fetchUpdate(
    reader: MemberState,
    position: number,
    signal: AbortSignal,
  ): Promise<RegistryUpdate | undefined> {
    try {
      const update = await this.dependencies.fetchUpdate(reader.operations, position, signal);
      if (update.ageMilliseconds > maxAgeMilliseconds) {
        throw new Error(`its content is ${String(Math.round(update.ageMilliseconds))} ms old`);
      }
      this.recordAnswer(reader);
      return update;
    } catch (error) {
      this.exclude(reader, error instanceof Error ? error.message : String(error));
      return undefined;
    }
  }

  private recordAnswer({ address, name }: MemberState): void {
    this.dependencies.onCall("ok");
    if (this.followed !== address) {
      this.followed = address;
      this.dependencies.record("info", "registry.reader-followed", { peer: name });
    }
  }

  private exclude({ address, name }: MemberState, detail: string): void {
    this.dependencies.onCall("failed");
    this.excludedUntil.set(address, this.dependencies.getNow() + exclusionMilliseconds);
    if (this.followed === address) {
      this.followed = undefined;
      this.dependencies.record("info", "registry.reader-lost", { peer: name, detail });
    }
  }

  private isExcluded(address: string): boolean {
    return (this.excludedUntil.get(address) ?? -Infinity) > this.dependencies.getNow();
  }
}
