import { isIPv4 } from "node:net";
import { z } from "zod";

const maxPort = 65_535;
/** Length of names in an upstream's record, which travel in heads of messages; in characters. */
const maxNameLength = 256;
const name = z.string().max(maxNameLength);

/** Checks whether a text is an IPv4 address and a port that a connection can be opened to. */
function isConnectable(text: string): boolean {
  const [host = "", port = "", ...rest] = text.split(":");
  const number = /^\d{1,5}$/.test(port) ? Number(port) : 0;
  return rest.length === 0 && isIPv4(host) && number > 0 && number <= maxPort;
}

/** One upstream of a service, as it publishes itself in the registry. */
export const upstreamSchema = z.object({
  id: name.min(1),
  service: name.min(1),
  /** IPv4 address and port. */
  address: z.string().refine(isConnectable, "must be an IPv4 address and a port"),
  zone: name,
  /** Version of its software; empty when it is not published. */
  softwareVersion: name.default(""),
  /** Requests that it runs concurrently. */
  slots: z.int().positive(),
  state: z.enum(["ready", "draining"]),
  /** Start of this incarnation, in milliseconds since the epoch; 0 when it is not published. */
  bornAt: z.number(),
  /** Increases with every change that the upstream makes to its record. */
  sequence: z.number(),
  /** Time for which it is still cold after its start, when it published this record; omitted when it is not. */
  coldMilliseconds: z.number().positive().optional(),
});

export type Upstream = z.infer<typeof upstreamSchema>;
