import { z } from "zod";

const fieldSchema = z.union([z.string(), z.number(), z.boolean()]);

/** One event of a process, with a timestamp of its hybrid logical clock. */
export const timelineEventSchema = z.object({
  /** Sequence number in the process's ring buffer of events; grows by one with each event. */
  sequence: z.int().min(0),
  /** Physical part of the timestamp, in milliseconds since the Unix epoch. */
  at: z.number(),
  /** Logical part of the timestamp; orders events with the same `at`. */
  logical: z.int().min(0),
  name: z.string().min(1),
  fields: z.record(z.string(), fieldSchema),
});

/** Response of `GET /v1/events`. */
export const eventPageSchema = z.object({
  process: z.string(),
  incarnation: z.string(),
  events: z.array(timelineEventSchema),
  /** Sequence number to pass as `after` to get the next page. */
  next: z.int().min(0),
  /** Number of events that the ring buffer dropped before they could be read. */
  dropped: z.int().min(0),
});

export type TimelineEvent = z.infer<typeof timelineEventSchema>;
export type EventPage = z.infer<typeof eventPageSchema>;
