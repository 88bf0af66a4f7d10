import { z } from "zod";

/** What a sign says about an upstream host. */
export const signStateSchema = z.enum(["alive", "leaving", "listedLeaving", "down"]);

/** Statement about an upstream host that daemons pass on to each other. */
export const hostSignSchema = z.strictObject({
  host: z.string().min(1),
  state: signStateSchema,
  /**
   * Orders the signs about one host: the instant of the evidence, raised above older signs. For
   * `listedLeaving` it is the revision of the host list.
   */
  version: z.number().min(0),
  /** Start of the host's process that the sign is about; 0 when the host does not tell. */
  incarnation: z.number().min(0),
});

export type SignState = z.infer<typeof signStateSchema>;
export type HostSign = z.infer<typeof hostSignSchema>;

/**
 * What a daemon saw of an upstream host itself.
 *
 * `refused` is a refusal that does not say that the host is leaving, such as a full engine.
 * `answered` proves that the host can be reached, not that it accepts new work.
 */
export type Observation =
  "leaving" | "healthy" | "connectFailed" | "answered" | "refused" | "loadReport";
