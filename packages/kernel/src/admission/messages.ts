import { z } from "zod";
import type { Team } from "../configuration/index.js";
import type { Instant } from "../kernel/index.js";
import type { AdmissionError } from "./AdmissionError.js";

/** Number of requests of one large team that a daemon runs, as reported to its peers. */
export const teamTotalSchema = z.strictObject({
  team: z.string().min(1),
  running: z.number().min(0),
});

export type TeamTotal = z.infer<typeof teamTotalSchema>;

/** A check that the fault matrix can switch off, to show that its tests detect the failure. */
export type AdmissionGuard =
  /** Requests within their team's share are admitted before the others. */
  "admission-shares";

/** The teams of an accepted configuration. */
export interface TeamsMessage {
  readonly kind: "configure";
  readonly teams: readonly Team[];
  readonly disabledGuards?: readonly AdmissionGuard[];
}

/** This daemon's part of the fleet's capacity, and the daemons of the fleet. */
export interface CapacityMessage {
  readonly kind: "capacity";
  /** Total cost of the requests that may run at the same time. */
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
  /** Capacity that the request uses while it runs. */
  readonly cost: number;
  readonly deadline: Instant;
}

/** An admitted request ended, or the caller of an admitted or waiting request disconnected. */
export interface EndMessage {
  readonly kind: "finish" | "cancel";
  readonly requestId: string;
}

/** Totals of the large teams at another daemon; they replace its previous report. */
export interface PeerTotalsMessage {
  readonly kind: "peerTotals";
  readonly from: string;
  readonly at: Instant;
  readonly totals: readonly TeamTotal[];
}

/** Advances the clock: expires waiting requests and reports totals that are due. */
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

/** The request is admitted and may start now. */
export interface AdmitEffect {
  readonly kind: "admit";
  readonly requestId: string;
  readonly arrivedAt: Instant;
}

/** The request is refused before any part of it ran. */
export interface RefuseEffect {
  readonly kind: "refuse";
  readonly requestId: string;
  readonly error: AdmissionError;
  /** Earliest instant at which a retry can succeed. */
  readonly retryAt: Instant;
}

/** The deadline of a waiting request passed before any part of it ran. */
export interface ExpireEffect {
  readonly kind: "expire";
  readonly requestId: string;
  readonly error: AdmissionError;
  readonly retryAt: Instant;
}

/** Totals of the large teams for the next gossip message, every `teamTotalsPeriodMilliseconds`. */
export interface TeamTotalsEffect {
  readonly kind: "teamTotals";
  readonly totals: readonly TeamTotal[];
}

export type AdmissionEffect = AdmitEffect | RefuseEffect | ExpireEffect | TeamTotalsEffect;
