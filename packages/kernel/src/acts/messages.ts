import type { Instant } from "../kernel/index.js";
import type { ActError } from "./ActError.js";
import type { ActAnswer, ActConclusion, ActTable } from "./schema.js";

/** One incarnation of one daemon. */
export interface DaemonIncarnation {
  readonly name: string;
  readonly incarnation: string;
}

/** A daemon on the host list, with the tables that it announces to have adopted. */
export interface ActPeer {
  readonly name: string;
  readonly holdings?: readonly DaemonIncarnation[];
}

/** Bounds of the memory that acts may take. */
export interface ActLimits {
  readonly maxActs: number;
  readonly maxBytes: number;
  /** Sends of one act; each but the last was proven not to have run. */
  readonly maxAttempts: number;
  /** Forwards of one request, each to a single daemon. */
  readonly maxForwards: number;
}

/** A check that the fault matrix can switch off, to show that a cell can fail. */
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

/** Begins the life of an incarnation; sent exactly once. */
export interface ActsStart {
  readonly kind: "start";
  readonly daemon: string;
  /** Never used before by this daemon. */
  readonly incarnation: string;
  /** At least 16 random bytes, made for this incarnation. */
  readonly secret: Uint8Array;
  readonly limits?: Partial<ActLimits>;
  readonly disabledGuards?: readonly ActGuard[];
}

/** Asks for a key; answered by `minted` or `reject`. */
export interface ActKeyRequest {
  readonly kind: "mint";
  readonly requestId: string;
  readonly expiresAt: Instant;
}

/** A caller's act, or one that a peer forwarded. */
export interface ActSubmit {
  readonly kind: "submit";
  /** Unique within the incarnation. */
  readonly requestId: string;
  /** Absent: the act runs here, under a key minted now. */
  readonly key?: string;
  /** Expiry of the key minted for an act without one. */
  readonly expiresAt: Instant;
  /** Hash of service, method, path and body. */
  readonly fingerprint: string;
  readonly service: string;
  /** The request is answered by then, if need be with `unknown`. */
  readonly deadline: Instant;
  /** The daemon that forwarded the act; absent for a caller's own request. */
  readonly forwardedBy?: string;
  /** The other daemons on the host list. */
  readonly peers: readonly ActPeer[];
}

/** What became of one send. */
export type AttemptResult =
  | { readonly kind: "answered"; readonly answer: ActAnswer }
  /** No octet of the request left this host. */
  | { readonly kind: "never-sent" }
  /** The service stated that it ran nothing. */
  | { readonly kind: "refused-by-upstream" }
  | { readonly kind: "lost" };

/** Reports the end of a send. */
export interface ActAttempted {
  readonly kind: "attempted";
  readonly actId: string;
  readonly attemptId: string;
  readonly result: AttemptResult;
  /** True when another host of the service can take the act. */
  readonly hasOtherHost: boolean;
}

/** What became of one forward. */
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

/** The caller went away; its act goes on. */
export interface ActWithdraw {
  readonly kind: "withdraw";
  readonly requestId: string;
}

/** Expires records and deadlines; sent about once a second. */
export interface ActsTick {
  readonly kind: "tick";
}

/** Planned stop: hands every table to one successor, as soon as nothing is in flight. */
export interface ActsHandOver {
  readonly kind: "hand-over";
  readonly successor: DaemonIncarnation;
}

/** Reports the successor's answer to a `transfer`; `accepted` false when it is not known. */
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

/** Effects; a request ends with exactly one of `answer`, `moved` and `reject`. */
export type ActsEffect =
  | {
      readonly kind: "minted";
      readonly requestId: string;
      readonly key: string;
      readonly expiresAt: Instant;
    }
  /** Send the act to one host of the service, once, and report by `attempted`. */
  | {
      readonly kind: "send";
      readonly requestId: string;
      readonly actId: string;
      readonly attemptId: string;
      readonly key: string;
      readonly service: string;
    }
  /** Submit the act to that daemon as `forwardedBy` this one, and report by `forwarded`. */
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
  /** In flight, or about to be handed over: the request is answered later. */
  | { readonly kind: "wait"; readonly requestId: string; readonly actId: string }
  /** Tells the forwarding daemon that the successor holds the act. */
  | { readonly kind: "moved"; readonly requestId: string; readonly to: string }
  | { readonly kind: "reject"; readonly requestId: string; readonly error: ActError }
  /** Hand the table to this incarnation only, as often as needed, and report by `transferred`. */
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
