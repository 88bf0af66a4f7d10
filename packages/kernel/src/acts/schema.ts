import { z } from "zod";

const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
  "must be a Uint8Array",
);

const headerFieldSchema = z.strictObject({ name: z.string(), value: z.string() });

/** Complete answer of a service to an act. */
export const actAnswerSchema = z.strictObject({
  status: z.int().min(100).max(599),
  headers: z.array(headerFieldSchema),
  body: bytesSchema,
});

/**
 * Final state of an act. `done` without an answer means that the answer was too large to be stored.
 * `refused` is final too: nothing is sent under its key afterwards.
 */
export const actConclusionSchema = z.discriminatedUnion("state", [
  z.strictObject({ state: z.literal("done"), answer: actAnswerSchema.optional() }),
  z.strictObject({ state: z.literal("unknown") }),
  z.strictObject({
    state: z.literal("refused"),
    reason: z.enum(["never-sent", "refused-by-upstream"]),
  }),
]);

const concludedActSchema = z.strictObject({
  sequence: z.int().min(0),
  fingerprint: z.string(),
  expiresAt: z.number(),
  conclusion: actConclusionSchema,
});

/** All data that a successor needs to run the acts of an incarnation, as sent at a hand-over. */
export const actTableSchema = z.strictObject({
  issuer: z.string().min(1),
  incarnation: z.string().min(1),
  secret: bytesSchema,
  /** Latest clock reading of the holder. Keys that had expired by then stay expired. */
  latestTime: z.number(),
  /** Latest expiry of all keys that were issued. */
  lastExpiresAt: z.number(),
  acts: z.array(concludedActSchema),
});

export const actErrorCodeSchema = z.enum([
  "act-key-foreign",
  "act-key-forged",
  "act-key-expired",
  "act-key-reused",
  "act-issuer-unlisted",
  "act-issuer-gone",
  "act-issuer-lost",
  "act-running",
  "act-deadline-passed",
  "act-answer-not-kept",
  "act-table-full",
  "act-hand-over",
]);

export const actOutcomeSchema = z.enum(["complete", "not-run", "unknown"]);

export type HeaderField = z.infer<typeof headerFieldSchema>;
export type ActAnswer = z.infer<typeof actAnswerSchema>;
export type ActConclusion = z.infer<typeof actConclusionSchema>;
export type ConcludedAct = z.infer<typeof concludedActSchema>;
export type ActTable = z.infer<typeof actTableSchema>;
export type ActErrorCode = z.infer<typeof actErrorCodeSchema>;
export type ActOutcome = z.infer<typeof actOutcomeSchema>;
