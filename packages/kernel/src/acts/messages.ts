import type { Instant } from "../kernel/index.js";
import type { ActError } from "./ActError.js";
import type { ActAnswer, ActConclusion, ActTable } from "./schema.js";

/** One incarnation of one daemon. */
export interface DaemonIncarnation {
  readonly name: string;
  readonly incarnation: string;
}

/** A daemon on the host list, with the issuers of the tables that it announces as adopted. */
export interface ActPeer {
  readonly name: string;
  readonly holdings?: readonly DaemonIncarnation[];
}

/** Limits of memory, attempts and forwards. */
export interface ActLimits {
  readonly maxActs: number;
  readonly maxBytes: number;
  /** Attempts of one act. Each but the last is known not to have run. */
  readonly maxAttempts: number;
  /** Forwards of one request. Each goes to a single daemon. */
  readonly maxForwards: number;
}

/** A check that the fault matrix can switch off, to show that its tests detect the failure. */
export type ActGuard =
  | "act-authenticity"
  | "act-incarnation"
  | "act-single-send"
  | "act-expiry"
  | "act-latest-time"
  | "act-fingerprint"
  | "act-attempt-id"
  | "act-refused-final"
  | "act-lost-unknown"
  | "act-issuer-listed"
  | "act-single-forward"
  | "act-table-bound"
  | "hand-over-release"
  | "hand-over-incarnation"
  | "hand-over-once"
  | "hand-over-latest-time";

/** Starts an incarnation; sent exactly once. */
export interface ActsStart {
  readonly kind: "start";
  readonly daemon: string;
  /** Unique among all starts of this daemon. */
  readonly incarnation: string;
  /** At least 16 random bytes, generated for this incarnation. */
  readonly secret: Uint8Array;
  readonly limits?: Partial<ActLimits>;
  readonly disabledGuards?: readonly ActGuard[];
}

/** Requests a new key; answered by `minted` or `reject`. */
export interface ActKeyRequest {
  readonly kind: "mint";
  readonly requestId: string;
  readonly expiresAt: Instant;
}

/** An act from a caller, or one that a peer forwarded. */
export interface ActSubmit {
  readonly kind: "submit";
  /** Unique within the incarnation. */
  readonly requestId: string;
  /** Absent: the act runs on this daemon, under a new key. */
  readonly key?: string;
  /** Expiry of the key that is issued when `key` is absent. */
  readonly expiresAt: Instant;
  /** Hash of service, method, path and body. */
  readonly fingerprint: string;
  readonly service: string;
  /** The request is answered by then, with outcome `unknown` if the act is still running. */
  readonly deadline: Instant;
  /** The daemon that forwarded the act; absent for a caller's own request. */
  readonly forwardedBy?: string;
  /** The other daemons on the host list. */
  readonly peers: readonly ActPeer[];
}

/** Result of one attempt. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly answer: ActAnswer }
  /** No byte of the request left this host. */
  | { readonly kind: "never-sent" }
  /** The service stated that it did not run the act. */
  | { readonly kind: "refused-by-upstream" }
  | { readonly kind: "lost" };

/** Reports the end of an attempt. */
export interface ActAttempted {
  readonly kind: "attempted";
  readonly actId: string;
  readonly attemptId: string;
  readonly result: AttemptResult;
  /** True when another host of the service can take the act. */
  readonly hasOtherHost: boolean;
}

/** Result of one forward. */
export type ForwardResult =
  | { readonly kind: "answered"; readonly record: ActConclusion }
  | { readonly kind: "rejected"; readonly error: ActError }
  | { readonly kind: "moved"; readonly to: string }
  | { readonly kind: "lost" };

/** Reports the end of a forward. */
export interface ActForwarded {
  readonly kind: "forwarded";
  readonly requestId: string;
  readonly result: ForwardResult;
  readonly peers: readonly ActPeer[];
}

/** Reports that the caller has disconnected; its act continues. */
export interface ActWithdraw {
  readonly kind: "withdraw";
  readonly requestId: string;
}

/** Checks the expiry of records and the deadlines of requests; sent about once a second. */
export interface ActsTick {
  readonly kind: "tick";
}

/** Planned stop: hands every table over to one successor once none of its acts is in flight. */
export interface ActsHandOver {
  readonly kind: "hand-over";
  readonly successor: DaemonIncarnation;
}

/** Reports the result of a `transfer`; `accepted` is also false when the result is unknown. */
export interface ActsTransferred {
  readonly kind: "transferred";
  readonly issuer: string;
  readonly incarnation: string;
  readonly accepted: boolean;
}

/** A table that a stopping daemon handed over; answered by `adopted` or `reject`. */
export interface ActsAdopt {
  readonly kind: "adopt";
  readonly requestId: string;
  readonly successor: DaemonIncarnation;
  readonly table: ActTable;
}

export type ActsMessage =
  | ActsStart
  | ActKeyRequest
  | ActSubmit
  | ActAttempted
  | ActForwarded
  | ActWithdraw
  | ActsTick
  | ActsHandOver
  | ActsTransferred
  | ActsAdopt;

/** Effects of the plug-in. A `submit` ends with exactly one of `answer`, `moved` and `reject`. */
export type ActsEffect =
  | {
      readonly kind: "minted";
      readonly requestId: string;
      readonly key: string;
      readonly expiresAt: Instant;
    }
  /** Sends the act to one host of the service, once; the result is reported by `attempted`. */
  | {
      readonly kind: "send";
      readonly requestId: string;
      readonly actId: string;
      readonly attemptId: string;
      readonly key: string;
      readonly service: string;
    }
  /** Submits the act to another daemon, with `forwardedBy` set; reported by `forwarded`. */
  | {
      readonly kind: "forward";
      readonly requestId: string;
      readonly actId: string;
      readonly key: string;
      readonly to: string;
    }
  | {
      readonly kind: "answer";
      readonly requestId: string;
      readonly actId: string;
      readonly record: ActConclusion;
    }
  /** The act is in flight or its table is being handed over; the request is answered later. */
  | { readonly kind: "wait"; readonly requestId: string; readonly actId: string }
  /** Informs the forwarding daemon that the successor holds the act. */
  | { readonly kind: "moved"; readonly requestId: string; readonly to: string }
  | { readonly kind: "reject"; readonly requestId: string; readonly error: ActError }
  /** Sends the table to this incarnation only, with retries; reported by `transferred`. */
  | {
      readonly kind: "transfer";
      readonly successor: DaemonIncarnation;
      readonly table: ActTable;
    }
  | {
      readonly kind: "adopted";
      readonly requestId: string;
      readonly issuer: string;
      readonly incarnation: string;
    };
