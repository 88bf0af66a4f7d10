import { z } from "zod";
import { upstreamModes } from "./upstreamModes.js";

/** Name of the disturbance in which a router reaches no upstream. */
export const routerCutName = "router-cut-from-upstreams";

/** Name of the disturbance in which a router starts while another socket has one of its addresses. */
export const startName = "address-in-use";

/** Names of the kinds of disturbances. */
const disturbanceNames = [
  "kill",
  "stop",
  "pause",
  "reload",
  "router-cut-from-store",
  routerCutName,
  "upstream-cut",
  "upstream-bad",
  "store-away",
  "store-forgets",
  "store-restored",
  "upstream-replaced",
  "upstream-leaves",
  "configuration",
  "key-revoked",
  "key-revoked-unseen",
  "upstream-crashed",
  startName,
  "zone-evacuated",
  "upstream-restarted",
] as const;

export type DisturbanceName = (typeof disturbanceNames)[number];

/** Options of the soak. */
export const soakOptionsSchema = z.strictObject({
  seed: z.coerce.number().int().min(0).default(1),
  /** Number of runs, with consecutive seeds. */
  runs: z.coerce.number().int().min(1).max(1_000).default(1),
  /** Time of a run in which disturbances start. */
  seconds: z.coerce.number().min(1).max(3_600).default(15),
  routers: z.coerce.number().int().min(2).max(60).default(3),
  /** Time in which the routers must recover after the last disturbance. */
  recoverySeconds: z.coerce.number().min(0).max(12).default(12),
  /** Modes that all upstreams have one after the other, in place of random disturbances; separated by commas. */
  modes: z
    .string()
    .transform((names) => names.split(","))
    .pipe(z.array(z.enum(upstreamModes)).min(1))
    .optional(),
  /** Kinds of random disturbances; separated by commas. Half of all by default, drawn by the seed. */
  kinds: z
    .string()
    .transform((names) => names.split(","))
    .pipe(z.array(z.enum(disturbanceNames)).min(1))
    .optional(),
  /** JavaScript file of the router, such as the bundle of another build; by default that of the built sources. */
  router: z.string().min(1).optional(),
  callersPerRouter: z.coerce.number().int().min(1).max(100).default(8),
  lateCallersPerRouter: z.coerce.number().int().min(0).max(100).default(2),
  /** Folder for the logs of runs in which a promise broke. */
  logs: z.string().optional(),
  json: z.boolean().default(false),
});

export type SoakOptions = z.output<typeof soakOptionsSchema>;

/** Target name of disturbances of the store. */
export const storeName = "store";

/**
 * Kind of a call: `read` may run again, `stream` may be resumed on another upstream,
 * `act`, `late` (an act whose parts are sent at different times) and `once` (a stream) run at most once.
 */
export type CallKind = "read" | "act" | "late" | "stream" | "once";

/**
 * A call as seen by its caller; each has an id of its own, also where it uses a request id again. Instants are
 * milliseconds of one monotonic clock.
 */
export interface CallRecord {
  readonly id: string;
  readonly kind: CallKind;
  readonly key: string;
  readonly router: string;
  readonly sentAt: number;
  /** When the last byte was sent; undefined if the call ended before. */
  readonly lastByteAt: number | undefined;
  readonly endedAt: number;
  readonly status: number;
  readonly stamp: string;
  readonly body: string;
  /** Whether the response announced that its upstream leaves. */
  readonly isLeaving: boolean;
  readonly isWhole: boolean;
  readonly wasConnected: boolean;
}

/** A run of a request, as seen by an upstream. */
export interface RunRecord {
  readonly id: string;
  readonly upstream: string;
  /** Availability zone of the upstream. */
  readonly zone: string;
  /** Version of the upstream's software. */
  readonly softwareVersion: string;
  /** Last event that the caller has, when the run resumes a stream. */
  readonly lastEventId: string | undefined;
  readonly team: string | undefined;
  readonly key: string | undefined;
  /** Whether the upstream got the body that the caller sent. */
  readonly hasOwnBody: boolean;
  readonly startedAt: number;
}

/** A request that an upstream refused while it asked for a rest. */
export interface RefusalRecord {
  readonly id: string;
  readonly upstream: string;
  readonly at: number;
  /** Until when the upstream wants no requests from the router. */
  readonly restEndsAt: number;
}

/** A fault or planned change that hit the installation. */
export interface Disturbance {
  readonly name: string;
  /** Name of a router or an upstream, or `storeName`. */
  readonly target: string;
  readonly isPlanned: boolean;
  readonly from: number;
  /** Infinite while the disturbance lasts. */
  until: number;
}

/** A change that the store has acknowledged. */
export interface Acknowledgement {
  readonly kind: "key-revoked" | "upstream-draining" | "zone-evacuated" | "zone-returned";
  readonly name: string;
  readonly at: number;
}

/** The records of a run. */
export interface Evidence {
  readonly calls: readonly CallRecord[];
  readonly runs: readonly RunRecord[];
  readonly refusals: readonly RefusalRecord[];
  readonly disturbances: readonly Disturbance[];
  readonly acknowledgements: readonly Acknowledgement[];
  /** Names of all upstreams of the run, also of removed ones. */
  readonly upstreams: readonly string[];
  /** Descriptions of routers that exited although they were not stopped, and of disturbances that failed. */
  readonly unexpectedExits: readonly string[];
  /** What routers did not do after the recovery although they ran, with their names. */
  readonly halfStarts: readonly string[];
  /** End of the recovery time after the last disturbance; calls sent from then on must succeed. */
  readonly recoveryDeadlineAt: number;
}

/** A promise that a run broke. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}
