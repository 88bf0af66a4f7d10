import { actTableSchema } from "@pistachioway/kernel";
import { z } from "zod";

/** A request for something newer than a revision. */
export const revisionRequestSchema = z.strictObject({ after: z.int().min(-1) });

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** The compressed text of a configuration; null when the peer does not have that revision. */
export const peerConfigurationSchema = z.strictObject({ gzip: bytesSchema }).nullable();

/** A table of acts, and the incarnation that is to adopt it. */
export const handOverSchema = z.strictObject({
  successor: z.strictObject({ name: z.string().min(1), incarnation: z.string().min(1) }),
  table: actTableSchema,
});

/** Whether a table was adopted. */
export const handOverAnswerSchema = z.strictObject({ accepted: z.boolean() });

export type RevisionRequest = z.infer<typeof revisionRequestSchema>;
export type PeerConfiguration = z.infer<typeof peerConfigurationSchema>;
export type HandOver = z.infer<typeof handOverSchema>;
export type HandOverAnswer = z.infer<typeof handOverAnswerSchema>;
