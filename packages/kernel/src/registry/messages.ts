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
  | { readonly kind: "upstreamInvalid"; readonly id: string; readonly detail: string };

/** Content of the registry, or changes to it, up to a position of its history. */
export interface RegistryUpdate {
  readonly changes: readonly RegistryChange[];
  /** Position from which the next call of `watch` continues. */
  readonly position: number;
}

/** The registry no longer keeps its history from the requested position. */
export interface HistoryLost {
  readonly kind: "historyLost";
}

/** Reads what operators and upstreams publish in the registry. Both calls reject on failure. */
export interface Registry {
  /**
   * Reads the whole content.
   * @param signal - Cancels the call.
   */
  readonly readAll: (signal: AbortSignal) => Promise<RegistryUpdate>;
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
