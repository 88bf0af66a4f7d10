/** A request that a daemon may let wait before its first attempt. Times are monotonic milliseconds. */
export interface QueuedRequest {
  /** Priority from 0, the most urgent. */
  readonly priority: number;
  /** Name of its team; empty without one. */
  readonly team: string;
  /** Work of the request, in tokens; at least 1. */
  readonly cost: number;
  /** Size of the body that is kept while it waits. */
  readonly bytes: number;
  readonly arrivedAt: number;
  /** Latest time of the first byte by the objective of its route. */
  readonly goalAt: number;
  /** Time after which it cannot be served before its deadline. */
  readonly sendBy: number;
}

/** Why a request is refused instead of waiting. */
export type QueueRefusalReason = "queueFull" | "tooLate";

/** What becomes of a request that waits. */
export type QueueAction =
  | { readonly kind: "send"; readonly request: QueuedRequest }
  | {
      readonly kind: "refuse";
      readonly request: QueuedRequest;
      readonly reason: QueueRefusalReason;
      /** When its turn would come. */
      readonly retryAt: number;
    };
