import { z } from "zod";
import type { Team } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import type { AdmissionError } from "./AdmissionError.js";

/** Requests of one large team that a daemon runs now, as it tells its peers. */
export const teamTotalSchema = z.strictObject({
  team: z.string().min(1),
  running: z.number().min(0),
});

export type TeamTotal = z.infer<typeof teamTotalSchema>;

/** A check that the fault matrix can switch off, to show that a cell can fail. */
export type AdmissionGuard =
  /** Teams below their share are served before the others. */
  "admission-shares";

/** The teams of an accepted configuration. */
export interface TeamsMessage {
  readonly kind: "configure";
  readonly teams: readonly Team[];
  readonly disabledGuards?: readonly AdmissionGuard[];
}

/** This daemon's part of the fleet's capacity, and the daemons that share the rest. */
export interface CapacityMessage {
  readonly kind: "capacity";
  /** Cost of the requests that may run at once. */
  readonly capacity: number;
  readonly daemon: string;
  /** Names of all listed daemons, this one included. */
  readonly daemons: readonly string[];
}

/** A request arrived. */
export interface ArrivalMessage {
  readonly kind: "arrive";
  readonly requestId: string;
  readonly team: string;
  /** Part of the capacity that the request takes while it runs. */
  readonly cost: number;
  readonly deadline: Instant;
}

/** An admitted request ended, or a request's caller went away (admitted or waiting). */
export interface EndMessage {
  readonly kind: "finish" | "cancel";
  readonly requestId: string;
}

/** What another daemon runs for the large teams; replaces what it told before. */
export interface PeerTotalsMessage {
  readonly kind: "peerTotals";
  readonly from: string;
  readonly at: Instant;
  readonly totals: readonly TeamTotal[];
}

/** Time passes. */
export interface AdmissionTickMessage {
  readonly kind: "tick";
  readonly at: Instant;
}

export type AdmissionMessage =
  | TeamsMessage
  | CapacityMessage
  | ArrivalMessage
  | EndMessage
  | PeerTotalsMessage
  | AdmissionTickMessage;

/** The request runs now. */
export interface AdmitEffect {
  readonly kind: "admit";
  readonly requestId: string;
  readonly arrivedAt: Instant;
}

/** The request is refused at once; nothing of it ran. */
export interface RefuseEffect {
  readonly kind: "refuse";
  readonly requestId: string;
  readonly error: AdmissionError;
  /** Instant at which coming back can help. */
  readonly retryAt: Instant;
}

/** The deadline of a waiting request passed; nothing of it ran. */
export interface ExpireEffect {
  readonly kind: "expire";
  readonly requestId: string;
  readonly error: AdmissionError;
  readonly retryAt: Instant;
}

/** Totals of the large teams for the next digest, every `teamTotalsPeriodMilliseconds`. */
export interface TeamTotalsEffect {
  readonly kind: "teamTotals";
  readonly totals: readonly TeamTotal[];
}

export type AdmissionEffect = AdmitEffect | RefuseEffect | ExpireEffect | TeamTotalsEffect;
