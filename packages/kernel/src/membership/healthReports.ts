import { z } from "zod";

/**
 * State of an upstream host in a health report. `alive` means that the host accepts new work,
 * `listedLeaving` that the platform's host list says that it is leaving. `current` means only that
 * the sender, whose view is up to date, has no reason to exclude the host.
 */
export const healthReportStateSchema = z.enum([
  "alive",
  "leaving",
  "listedLeaving",
  "down",
  "current",
]);

/** Report on the state of an upstream host that daemons send to each other. */
export const healthReportSchema = z.strictObject({
  host: z.string().min(1),
  state: healthReportStateSchema,
  /**
   * Orders the reports about one host: the instant of the evidence, or more if it has to be above an
   * older report's version. For `listedLeaving` it is the revision of the host list.
   */
  version: z.number().min(0),
  /** Incarnation of the host's process; 0 when the host does not report it. */
  incarnation: z.number().min(0),
});

/** Health reports as a flat list of host, state, version and incarnation, to save bytes. */
export type PackedHealthReports = (string | number)[];

const fieldsPerReport = 4;

/**
 * Packs health reports into a flat list.
 * @param reports - Health reports to pack.
 */
export function packHealthReports(reports: readonly HealthReport[]): PackedHealthReports {
  const states = healthReportStateSchema.options;
  return reports.flatMap(({ host, state, version, incarnation }) => {
    return [host, states.indexOf(state), version, incarnation];
  });
}

/**
 * Parses packed health reports from a peer; malformed ones are left out.
 * @param packed - Decoded MessagePack.
 */
export function parseHealthReports(packed: unknown): HealthReport[] {
  const fields: unknown[] = Array.isArray(packed) ? packed : [];
  const reports: HealthReport[] = [];
  for (let index = 0; index + fieldsPerReport <= fields.length; index += fieldsPerReport) {
    const [host, state, version, incarnation] = fields.slice(index, index + fieldsPerReport);
    const stateName = healthReportStateSchema.options[state as number];
    const report = healthReportSchema.safeParse({ host, state: stateName, version, incarnation });
    reports.push(...(report.success ? [report.data] : []));
  }
  return reports;
}

export type HealthReportState = z.infer<typeof healthReportStateSchema>;
export type HealthReport = z.infer<typeof healthReportSchema>;

/**
 * What a daemon observed of an upstream host directly.
 *
 * `refused` is a refusal for another reason than that the host is leaving, such as a full engine.
 * `answered` proves that the host can be reached, not that it accepts new work.
 */
export type Observation =
  "leaving" | "healthy" | "connectFailed" | "answered" | "refused" | "loadReport";
