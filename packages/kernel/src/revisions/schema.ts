import { z } from "zod";

const digestText = z.string().regex(/^[0-9a-f]{64}$/);

/**
 * Identifies one published value.
 *
 * A refused value has the generation that was in force when it was refused.
 */
export const revisionSchema = z.strictObject({
  generation: z.int().min(1),
  revision: z.int().min(0),
  digest: digestText,
});

/** What a daemon announces of its configuration to its peers, in every gossip message. */
export const revisionAnnouncementSchema = z.strictObject({
  from: z.string().min(1),
  zone: z.string().min(1),
  inForce: revisionSchema.optional(),
  refused: revisionSchema.optional(),
  /** Instant of the last confirmation of `inForce` by the platform that the daemon knows of. */
  confirmedAt: z.number().optional(),
  /** True while the daemon's reads of the platform fail. */
  isReadFailing: z.boolean(),
});

export type Revision = z.infer<typeof revisionSchema>;
export type RevisionAnnouncement = z.infer<typeof revisionAnnouncementSchema>;
