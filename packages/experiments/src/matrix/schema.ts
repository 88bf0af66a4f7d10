import { z } from "zod";
import type { Fleet } from "../fleet/index.js";

/** What must always hold. */
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

/** Whether a promise held in one trial, with the figures that show it. */
export interface PromiseEvaluation {
  readonly promise: PromiseName;
  readonly held: boolean;
  readonly figures: Readonly<Record<string, number | string | boolean>>;
}

/** What a trial works with. */
export interface TrialContext {
  readonly fleet: Fleet;
  /** Unique name of the trial, to key requests and rules by. */
  readonly id: string;
  /**
   * Gets a pseudo-random whole number.
   * @param limit - The number is below this.
   */
  readonly getIndex: (limit: number) => number;
}

/** One fault at one step; it shows whether some promises hold. */
export interface Trial {
  readonly fault: string;
  readonly step: string;
  readonly promises: readonly PromiseName[];
  /** Guards without which one of the promises fails here. */
  readonly guards?: readonly string[];
  /** Whether the fixed-seed part in CI runs the trial. */
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

/** One cell of the result. */
export interface CellResult {
  readonly promise: PromiseName;
  readonly fault: string;
  readonly step: string;
  readonly held: boolean;
  readonly seed: number;
  readonly figures: PromiseEvaluation["figures"];
}

export type MatrixOptions = z.output<typeof matrixOptionsSchema>;
