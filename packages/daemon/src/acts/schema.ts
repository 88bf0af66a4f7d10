import { actConclusionSchema, actErrorCodeSchema, actOutcomeSchema } from "@pistachioway/kernel";
import { z } from "zod";

const bytesSchema = z.custom<Uint8Array>(
  (value) => value instanceof Uint8Array,
  "must be a Uint8Array",
);

/** A call of a service that runs at most once, as daemons forward it to each other. */
export const actCallSchema = z.strictObject({
  team: z.string(),
  service: z.string(),
  method: z.string(),
  /** Path and query below the service. */
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  body: bytesSchema,
  deadline: z.number(),
});

/** An act that a daemon forwards to the issuer of its key. */
export const forwardedActSchema = z.strictObject({
  requestId: z.string(),
  key: z.string(),
  call: actCallSchema,
});

/** The issuer's answer to a forwarded act. */
export const forwardedAnswerSchema = z.discriminatedUnion("kind", [
  z.strictObject({ kind: z.literal("answered"), record: actConclusionSchema }),
  z.strictObject({
    kind: z.literal("rejected"),
    code: actErrorCodeSchema,
    outcome: actOutcomeSchema.exclude(["complete"]),
    message: z.string(),
  }),
  z.strictObject({ kind: z.literal("moved"), to: z.string() }),
]);

export type ActCall = z.infer<typeof actCallSchema>;
export type ForwardedAct = z.infer<typeof forwardedActSchema>;
export type ForwardedAnswer = z.infer<typeof forwardedAnswerSchema>;
