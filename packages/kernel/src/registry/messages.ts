import type { Routing } from "../routing/index.js";
import type { Upstream } from "../upstreams/index.js";

/** One thing that the registry says. */
export type RegistryChange =
  | { readonly kind: "routing"; readonly routing: Routing; readonly faults: readonly string[] }
  | { readonly kind: "upstream"; readonly upstream: Upstream }
  | { readonly kind: "upstreamGone"; readonly id: string }
  /** A routing configuration that cannot be read: which one is in force is not known. */
  | { readonly kind: "routingInvalid"; readonly detail: string }
  /** An entry that names no usable upstream. */
  | { readonly kind: "upstreamInvalid"; readonly id: string; readonly detail: string };

/** What the registry holds, or what changed, up to a position of its history. */
export interface RegistryUpdate {
  readonly changes: readonly RegistryChange[];
  /** Position from which the next watch goes on. */
  readonly position: number;
}

/** The history from the asked position on is no longer held. */
export interface HistoryLost {
  readonly kind: "historyLost";
}

/** Reads what operators and upstreams publish. Both calls reject when they fail. */
export interface Registry {
  /**
   * Reads everything.
   * @param signal - Ends the call.
   */
  readonly readAll: (signal: AbortSignal) => Promise<RegistryUpdate>;
  /**
   * Waits for changes; resolves without any after the time.
   * @param position - Where to go on.
   * @param waitMilliseconds - Longest wait.
   * @param signal - Ends the call.
   */
  readonly watch: (
    position: number,
    waitMilliseconds: number,
    signal: AbortSignal,
  ) => Promise<RegistryUpdate | HistoryLost>;
}
