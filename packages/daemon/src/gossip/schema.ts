import { z } from "zod";

const holdingSchema = z.strictObject({ name: z.string(), incarnation: z.string() });

/** What a daemon sends about itself to each neighbour, about once a second. */
export const heartbeatSchema = z.strictObject({
  zone: z.string().min(1),
  /** Incarnation that the act keys of the daemon contain. */
  incarnation: z.string().min(1),
  isDraining: z.boolean(),
  /** Act tables of stopped daemons that it adopted. */
  holdings: z.array(holdingSchema),
  /** Reading of its hybrid logical clock. */
  clock: z.strictObject({ at: z.number(), logical: z.int().min(0) }),
});

export type Heartbeat = z.infer<typeof heartbeatSchema>;
export type Holding = z.infer<typeof holdingSchema>;
