import { z } from "zod";

/** Options of the soak. */
export const soakOptionsSchema = z.strictObject({
  seed: z.coerce.number().int().min(0).default(1),
  /** Runs, each with the next seed. */
  runs: z.coerce.number().int().min(1).max(1_000).default(1),
  /** Time under disturbances of one run. */
  seconds: z.coerce.number().min(1).max(3_600).default(15),
  routers: z.coerce.number().int().min(2).max(60).default(3),
  callersPerRouter: z.coerce.number().int().min(1).max(100).default(8),
  /** Folder for the logs of runs in which a promise broke. */
  logs: z.string().optional(),
  json: z.boolean().default(false),
});

export type SoakOptions = z.output<typeof soakOptionsSchema>;

/** Target of what is done to the store. */
export const storeName = "store";

/** Which of a request's rules apply: `read` may run again, `stream` may go on elsewhere. */
export type CallKind = "read" | "act" | "stream" | "once";

/** A request as its caller saw it. Instants are milliseconds of one steady clock. */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly key: string;
  readonly router: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly status: number;
  readonly stamp: string;
  readonly body: string;
  readonly isWhole: boolean;
  readonly wasConnected: boolean;
}

/** A run of a request, as an upstream saw it. */
export interface RunRecord {
  readonly id: string;
  readonly upstream: string;
  readonly team: string | undefined;
  readonly key: string | undefined;
  readonly startedAt: number;
}

/** Something that was done to the installation. */
export interface Disturbance {
  readonly name: string;
  /** What it was done to: a router, an upstream or the store. */
  readonly target: string;
  readonly isPlanned: boolean;
  readonly from: number;
  /** Infinite while it lasts. */
  until: number;
}

/** Something that the store has acknowledged. */
export interface Acknowledgement {
  readonly kind: "key-revoked" | "upstream-draining";
  readonly name: string;
  readonly at: number;
}

/** All that a run has seen. */
export interface Evidence {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly disturbances: readonly Disturbance[];
  readonly acknowledgements: readonly Acknowledgement[];
  /** Names of all upstreams that there were. */
  readonly upstreams: readonly string[];
  /** Routers that ended without being told to, or did not start again. */
  readonly unexpectedExits: readonly string[];
  /** From when on nothing disturbed any more. */
  readonly recoveryDeadlineAt: number;
}

/** A promise that a run broke. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}
