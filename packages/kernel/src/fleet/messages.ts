/** State of one daemon, as it last described itself. Instants are local monotonic milliseconds. */
export interface MemberState {
  readonly name: string;
  /** Address at which the daemon receives datagrams. */
  readonly address: string;
  /** Address at which peers read the daemon's configuration and upstreams. */
  readonly operations: string;
  /** Availability zone of the daemon. */
  readonly zone: string;
  /** Grows with every start of the daemon. */
  readonly incarnation: number;
  /** Grows with every state that the daemon describes in one incarnation. */
  readonly sequence: number;
  /** When the daemon described this state. */
  readonly sampledAt: number;
  /** Version of the daemon's configuration; -1 without one. */
  readonly version: number;
  /** When that version was last known to be the newest; -Infinity when it never was. */
  readonly confirmedAt: number;
  /** Requests in flight by hash of the upstream's id; upstreams without any are left out. */
  readonly running: ReadonlyMap<number, number>;
  /** Hashes of the names of services none of whose upstreams the daemon reaches by itself. */
  readonly unreachedServices: ReadonlySet<number>;
}

/** What a daemon learned about an upstream and tells the others. */
export type FleetNotice =
  /** An engine reads a prompt block and caches it. */
  | {
      readonly kind: "prefix";
      /** Hash of the block's id. */
      readonly block: number;
      /** Hash of the engine's id. */
      readonly upstream: number;
      readonly at: number;
    }
  /** An incarnation of an upstream announced that it leaves. */
  | { readonly kind: "leaving"; readonly id: string; readonly bornAt: number }
  /** An upstream asked a daemon for no requests until a time. */
  | { readonly kind: "resting"; readonly id: string; readonly endsAt: number }
  /** An upstream limits the requests a second of all daemons together; undefined when it no longer does. */
  | {
      readonly kind: "limit";
      readonly id: string;
      readonly perSecond: number | undefined;
      /** When it said so. */
      readonly at: number;
    }
  /** The pace changed at which all daemons send to an upstream that has started; undefined when it is unrestricted. */
  | {
      readonly kind: "pace";
      readonly id: string;
      readonly perSecond: number | undefined;
      /** Whether a rejection or a late first byte was the reason. */
      readonly isReduced: boolean;
      readonly at: number;
    }
  /** A request with a content was lost when its upstream's connection ended. */
  | {
      readonly kind: "loss";
      /** Hash of the content and its service. */
      readonly content: number;
      /** Hash of the upstream's id and incarnation. */
      readonly upstream: number;
      /** Hash of the request's id. */
      readonly request: number;
      readonly at: number;
    }
  /** A request with a content was served. */
  | { readonly kind: "served"; readonly content: number; readonly at: number }
  /** Requests with a content are refused; told again and again until it ends. */
  | {
      readonly kind: "quarantine";
      readonly content: number;
      /** Time of the first loss that it is based on. */
      readonly lostSince: number;
      readonly endsAt: number;
      /** How often the content has been quarantined. */
      readonly count: number;
    };

/** All kinds of notices. */
export const noticeKinds: readonly FleetNotice["kind"][] = [
  "prefix",
  "leaving",
  "resting",
  "limit",
  "pace",
  "loss",
  "served",
  "quarantine",
];

/** What one daemon sends to another. */
export interface FleetMessage {
  /** States of daemons; the first is that of the sender. */
  readonly states: readonly MemberState[];
  readonly notices: readonly FleetNotice[];
}
