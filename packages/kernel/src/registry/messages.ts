import type { Routing } from "../routing/index.js";
import type { Upstream } from "../upstreams/index.js";

/** One entry of the registry that was added, changed or removed. */
export type RegistryChange =
  | { readonly kind: "routing"; readonly routing: Routing; readonly faults: readonly string[] }
  | { readonly kind: "upstream"; readonly upstream: Upstream }
  | { readonly kind: "upstreamGone"; readonly id: string }
  /** The published routing configuration cannot be parsed, so the one in force is not known. */
  | { readonly kind: "routingInvalid"; readonly detail: string }
  /** An entry that cannot be parsed as an upstream. */
  | { readonly kind: "upstreamInvalid"; readonly id: string; readonly detail: string }
  /** The operator asks for the evacuation of an availability zone: its upstreams get no more requests. */
  | { readonly kind: "zoneEvacuated"; readonly zone: string }
  /** The evacuation of an availability zone has ended. */
  | { readonly kind: "zoneReturned"; readonly zone: string };

/** Content of the registry, or changes to it, up to a position of its history. */
export interface RegistryUpdate {
  readonly changes: readonly RegistryChange[];
  /** Position from which the next call of `watch` continues; it is valid within the era only. */
  readonly position: number;
  /** Era of the content: it rises when the registry was restored from an older copy. */
  readonly era?: number | undefined;
  /** Age of the content when the call began, if a peer told it; undefined when the registry itself did. */
  readonly ageMilliseconds?: number | undefined;
}

/** The registry does not have its history from the requested position. */
export interface HistoryLost {
  readonly kind: "historyLost";
  readonly era?: number | undefined;
}

/** Reads what operators and upstreams publish in the registry. Both calls reject on failure. */
export interface Registry {
  /**
   * Reads the whole content. The history is lost if the registry was restored during the call.
   * @param signal - Cancels the call.
   */
  readonly readAll: (signal: AbortSignal) => Promise<RegistryUpdate | HistoryLost>;
  /**
   * Waits for changes; resolves without changes after the maximum wait.
   * @param position - Position of the history to continue from.
   * @param waitMilliseconds - Maximum wait.
   * @param signal - Cancels the call.
   */
  readonly watch: (
    position: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ) => Promise<RegistryUpdate | HistoryLost>;
}
