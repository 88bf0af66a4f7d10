import { z } from "zod";

/**
 * What a sign says about an upstream host. `current` says only that the sender, whose view is up to
 * date, knows nothing against the host.
 */
export const signStateSchema = z.enum(["alive", "leaving", "listedLeaving", "down", "current"]);

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

/** Signs as one flat list of host, state, version and incarnation, to be sent in few octets. */
export type PackedSigns = (string | number)[];

const fieldsOfSign = 4;

/**
 * Packs signs into few octets.
 * @param signs - Signs to pack.
 */
export function packSigns(signs: readonly HostSign[]): PackedSigns {
  const states = signStateSchema.options;
  return signs.flatMap(({ host, state, version, incarnation }) => {
    return [host, states.indexOf(state), version, incarnation];
  });
}

/**
 * Reads packed signs that came from a peer; those that are not well formed are left out.
 * @param packed - Decoded MessagePack.
 */
export function parseSigns(packed: unknown): HostSign[] {
  const fields: unknown[] = Array.isArray(packed) ? packed : [];
  const signs: HostSign[] = [];
  for (let index = 0; index + fieldsOfSign <= fields.length; index += fieldsOfSign) {
    const [host, state, version, incarnation] = fields.slice(index, index + fieldsOfSign);
    const named = signStateSchema.options[state as number];
    const sign = hostSignSchema.safeParse({ host, state: named, version, incarnation });
    signs.push(...(sign.success ? [sign.data] : []));
  }
  return signs;
}

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
