import { z } from "zod";

/** Options of the service stand-in. */
export const serviceOptionsSchema = z.strictObject({
  name: z.string().default("service"),
  port: z.int().min(0).max(65_535).default(0),
});

/** Faults that the control call sets; omitted ones stay as they are. */
export const serviceFaultsSchema = z.strictObject({
  /** Refuses every call and reports itself as leaving. */
  leaving: z.boolean().optional(),
  /** Number of next calls to refuse before they run. */
  refuseNext: z.int().min(0).optional(),
  /** Records calls, but sends no response until it is false again. */
  held: z.boolean().optional(),
  /** Delay between the record and the response. */
  delayMilliseconds: z.number().min(0).optional(),
  /** Kills the process at the next call before its response, before or after it is recorded. */
  die: z.enum(["never", "before-record", "after-record"]).optional(),
  /** Kills the process at a call whose path has this text, after it is recorded; empty for none. */
  crashText: z.string().optional(),
  /** Status of the answers to calls that run. */
  statusAfterRun: z.int().min(200).max(599).optional(),
  /** Text of `x-outcome` in the answers to calls that run; empty for none. */
  outcomeAfterRun: z.string().optional(),
});

/** Query of the records: waits until there are `atLeast` of them, at most `wait` milliseconds. */
export const recordsQuerySchema = z.object({
  atLeast: z.coerce.number().int().min(0).default(0),
  wait: z.coerce.number().int().min(0).max(120_000).default(0),
});

export type ServiceOptions = z.input<typeof serviceOptionsSchema>;
export type ServiceSettings = z.output<typeof serviceOptionsSchema>;
export type ServiceFaults = z.infer<typeof serviceFaultsSchema>;
