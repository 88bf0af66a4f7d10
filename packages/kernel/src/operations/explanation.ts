import { z } from "zod";

const candidateSchema = z.object({
  engine: z.string(),
  zone: z.string(),
  /** Position in the chat's order of preference, starting at 0. */
  rank: z.int().min(0),
  load: z.number(),
  eligible: z.boolean(),
  reason: z.string(),
});

/** Response of `GET /v1/explain`: the engine that a chat would be sent to, and why. */
export const explanationSchema = z.object({
  chat: z.string(),
  model: z.string(),
  /** Mean load of the engines that serve the model. */
  mean: z.number(),
  /** Load up to which an engine accepts new requests. */
  limit: z.number(),
  candidates: z.array(candidateSchema),
  /** Name of the engine that would be chosen; absent when there is none. */
  choice: z.string().nullish(),
});

export type Explanation = z.infer<typeof explanationSchema>;
export type ExplanationCandidate = z.infer<typeof candidateSchema>;
