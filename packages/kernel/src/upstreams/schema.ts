import { z } from "zod";

/** One upstream of a service, as it says of itself in the registry. */
export const upstreamSchema = z.object({
  id: z.string().min(1),
  service: z.string().min(1),
  /** IPv4 address and port. */
  address: z.string().regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/),
  zone: z.string(),
  /** Requests that it runs at once. */
  slots: z.int().positive(),
  state: z.enum(["ready", "draining"]),
  /** Start of this incarnation, in milliseconds since the epoch; 0 when it does not say. */
  bornAt: z.number(),
  /** Grows with every change that the upstream makes to its entry. */
  sequence: z.number(),
});

export type Upstream = z.infer<typeof upstreamSchema>;
