import { collectText, routingSchema, upstreamSchema } from "@pistachioway/kernel";
import { get } from "node:http";
import { z } from "zod";

const responseTimeoutMilliseconds = 400;
const okStatus = 200;

/** What a daemon sends to a peer that cannot read the registry. */
export const peerStateSchema = z.object({
  version: z.int().min(0),
  /** Time between the last confirmation that this version is the newest and the answer. */
  ageMilliseconds: z.number().min(0),
  /** Era of the registry's content that the peer knows; omitted when it knows none. */
  era: z.int().optional(),
  /** Omitted when the peer has this version. */
  routing: routingSchema.optional(),
  /** Zones that are evacuated; omitted by a peer that does not know them, and by earlier builds. */
  evacuatedZones: z.array(z.string()).optional().catch(undefined),
  /** Records that this build does not accept are passed over. */
  upstreams: z
    .array(z.unknown())
    .transform((records) =>
      records.flatMap((record) => upstreamSchema.safeParse(record).data ?? []),
    ),
});

export type PeerState = z.infer<typeof peerStateSchema>;

/** Path of a daemon's state on its listener for operators and peers. */
export const peerStatePath = "/peer-state";

/**
 * Requests the state of a peer. Rejects when the answer is late or malformed.
 * @param address - Address of the peer's listener for operators and peers.
 * @param knownVersion - Version of the configuration that the peer may omit; -1 for none.
 */
export async function fetchPeerState(address: string, knownVersion: number): Promise<PeerState> {
  const url = `http://${address}${peerStatePath}?known=${String(knownVersion)}`;
  const text = await fetchText(url);
  return peerStateSchema.parse(JSON.parse(text));
}

async function fetchText(url: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = get(url, { agent: false, timeout: responseTimeoutMilliseconds }, (response) => {
      if (response.statusCode === okStatus) {
        collectText(response).then(resolve, reject);
      } else {
        response.destroy();
        reject(new Error(`status ${String(response.statusCode)} from ${url}`));
      }
    });
    request.on("timeout", () => {
      request.destroy(
        new Error(`no answer from ${url} within ${String(responseTimeoutMilliseconds)} ms`),
      );
    });
    request.on("error", reject);
  });
}
