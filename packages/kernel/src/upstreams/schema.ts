import { z } from "zod";

/** One upstream of a service, as it publishes itself in the registry. */
export const upstreamSchema = z.object({
  id: z.string().min(1),
  service: z.string().min(1),
  /** IPv4 address and port. */
  address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/),
  zone: z.string(),
  /** Version of its software; empty when it is not published. */
  softwareVersion: z.string().default(""),
  /** Requests that it runs concurrently. */
  slots: z.int().positive(),
  state: z.enum(["ready", "draining"]),
  /** Start of this incarnation, in milliseconds since the epoch; 0 when it is not published. */
  bornAt: z.number(),
  /** Increases with every change that the upstream makes to its record. */
  sequence: z.number(),
});

export type Upstream = z.infer<typeof upstreamSchema>;
