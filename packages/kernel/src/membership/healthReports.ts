import { z } from "zod";

/**
 * What a sign says about an upstream host. `current` says only that the sender, whose view is up to
 * date, knows nothing against the host.
 */
export const healthReportStateSchema = z.enum([
  "alive",
  "leaving",
  "listedLeaving",
  "down",
  "current",
]);

/** Statement about an upstream host that daemons pass on to each other. */
export const healthReportSchema = z.strictObject({
  host: z.string().min(1),
  state: healthReportStateSchema,
  /**
   * Orders the signs about one host: the instant of the evidence, raised above older signs. For
   * `listedLeaving` it is the revision of the host list.
   */
  version: z.number().min(0),
  /** Start of the host's process that the sign is about; 0 when the host does not tell. */
  incarnation: z.number().min(0),
});

/** Signs as one flat list of host, state, version and incarnation, to be sent in few octets. */
export type PackedHealthReports = (string | number)[];

const fieldsPerReport = 4;

/**
 * Packs signs into few octets.
 * @param signs - Signs to pack.
 */
export function packHealthReports(signs: readonly HealthReport[]): PackedHealthReports {
  const states = healthReportStateSchema.options;
  return signs.flatMap(({ host, state, version, incarnation }) => {
    return [host, states.indexOf(state), version, incarnation];
  });
}

/**
 * Reads packed signs that came from a peer; those that are not well formed are left out.
 * @param packed - Decoded MessagePack.
 */
export function parseHealthReports(packed: unknown): HealthReport[] {
  const fields: unknown[] = Array.isArray(packed) ? packed : [];
  const signs: HealthReport[] = [];
  for (let index = 0; index + fieldsPerReport <= fields.length; index += fieldsPerReport) {
    const [host, state, version, incarnation] = fields.slice(index, index + fieldsPerReport);
    const named = healthReportStateSchema.options[state as number];
    const sign = healthReportSchema.safeParse({ host, state: named, version, incarnation });
    signs.push(...(sign.success ? [sign.data] : []));
  }
  return signs;
}

export type HealthReportState = z.infer<typeof healthReportStateSchema>;
export type HealthReport = z.infer<typeof healthReportSchema>;

/**
 * What a daemon saw of an upstream host itself.
 *
 * `refused` is a refusal that does not say that the host is leaving, such as a full engine.
 * `answered` proves that the host can be reached, not that it accepts new work.
 */
export type Observation =
  "leaving" | "healthy" | "connectFailed" | "answered" | "refused" | "loadReport";
