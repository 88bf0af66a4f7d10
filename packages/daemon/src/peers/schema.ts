import { actTableSchema } from "@pistachioway/kernel";
import { z } from "zod";

/** A request for a value that is newer than a revision; -1 when none is known. */
export const revisionRequestSchema = z.strictObject({ after: z.int().min(-1) });

const bytesSchema = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/** The compressed text of a configuration; null when the peer does not have that revision. */
export const peerConfigurationSchema = z.strictObject({ gzip: bytesSchema }).nullable();

/** An act table, and the incarnation that is to adopt it. */
export const handOverSchema = z.strictObject({
  successor: z.strictObject({ name: z.string().min(1), incarnation: z.string().min(1) }),
  table: actTableSchema,
});

/** Result of a hand-over: whether the table was adopted. */
export const handOverAnswerSchema = z.strictObject({ accepted: z.boolean() });

export type RevisionRequest = z.infer<typeof revisionRequestSchema>;
export type PeerConfiguration = z.infer<typeof peerConfigurationSchema>;
export type HandOver = z.infer<typeof handOverSchema>;
export type HandOverAnswer = z.infer<typeof handOverAnswerSchema>;
