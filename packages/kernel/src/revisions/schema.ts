import { z } from "zod";

const digestText = z.string().regex(/^[0-9a-f]{64}$/);

/** Names one published value; of a refused one, the generation is the one in force at the time. */
export const revisionSchema = z.strictObject({
  generation: z.int().min(1),
  revision: z.int().min(0),
  digest: digestText,
});

/** What a daemon tells its peers of its configuration, in every digest datagram. */
export const revisionAnnouncementSchema = z.strictObject({
  from: z.string().min(1),
  zone: z.string().min(1),
  inForce: revisionSchema.optional(),
  refused: revisionSchema.optional(),
  /** When the platform last confirmed the revision in force, as far as the daemon knows. */
  confirmedAt: z.number().optional(),
  /** True while the daemon cannot read the platform. */
  isReadFailing: z.boolean(),
});

export type Revision = z.infer<typeof revisionSchema>;
export type RevisionAnnouncement = z.infer<typeof revisionAnnouncementSchema>;
