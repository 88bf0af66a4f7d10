import { z } from "zod";

const fieldSchema = z.union([z.string(), z.number(), z.boolean()]);

/** One event of a process, stamped by its hybrid logical clock. */
export const timelineEventSchema = z.object({
  /** Position in the process's ring of events; grows by one for each event. */
  sequence: z.int().min(0),
  /** Physical part of the clock, in milliseconds since the Unix epoch. */
  at: z.number(),
  /** Logical part of the clock; orders events of one `at`. */
  logical: z.int().min(0),
  name: z.string().min(1),
  fields: z.record(z.string(), fieldSchema),
});

/** The answer of `GET /v1/events`. */
export const eventPageSchema = z.object({
  process: z.string(),
  incarnation: z.string(),
  events: z.array(timelineEventSchema),
  /** Sequence to pass as `after` to read on. */
  next: z.int().min(0),
  /** Events that the ring dropped before they could be read. */
  dropped: z.int().min(0),
});

export type TimelineEvent = z.infer<typeof timelineEventSchema>;
export type EventPage = z.infer<typeof eventPageSchema>;
