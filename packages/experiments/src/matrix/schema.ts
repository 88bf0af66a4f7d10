import { z } from "zod";
import type { Fleet } from "../fleet/index.js";

/** Names of the promises that the matrix evaluates. */
export const promiseNames = [
  "at-most-once",
  "not-run-true",
  "exactly-once-without-fault",
  "answers-whole",
  "leaving",
  "planned-stop",
  "configuration",
] as const;

export type PromiseName = (typeof promiseNames)[number];

/** Whether a promise held in one trial, with the figures that it was evaluated from. */
export interface PromiseEvaluation {
  readonly promise: PromiseName;
  readonly held: boolean;
  readonly figures: Readonly<Record<string, number | string | boolean>>;
}

/** The fleet and the inputs that a trial uses. */
export interface TrialContext {
  readonly fleet: Fleet;
  /** Unique name of the trial, used in its requests and rules. */
  readonly id: string;
  /**
   * Gets a pseudo-random whole number.
   * @param limit - The number is below this.
   */
  readonly getIndex: (limit: number) => number;
}

/** Injects one fault at one step and evaluates some promises. */
export interface Trial {
  readonly fault: string;
  readonly step: string;
  readonly promises: readonly PromiseName[];
  /** Guards without which this trial breaks one of its promises. */
  readonly guards?: readonly string[];
  /** Whether CI runs the trial, with a fixed seed. */
  readonly isQuick: boolean;
  readonly run: (context: TrialContext) => Promise<readonly PromiseEvaluation[]>;
}

/** Options of the command. */
export const matrixOptionsSchema = z.strictObject({
  json: z.boolean().default(false),
  seed: z.coerce.number().int().min(0).default(1),
  without: z.string().optional(),
  cell: z.string().optional(),
  promises: z.array(z.enum(promiseNames)).optional(),
  quick: z.boolean().default(false),
});

/** Result of one cell: a promise under a fault at a step. */
export interface CellResult {
  readonly promise: PromiseName;
  readonly fault: string;
  readonly step: string;
  readonly held: boolean;
  readonly seed: number;
  readonly figures: PromiseEvaluation["figures"];
}

export type MatrixOptions = z.output<typeof matrixOptionsSchema>;
