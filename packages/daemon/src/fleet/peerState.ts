import { routingSchema, upstreamSchema } from "@pistachioway/kernel";
import { get } from "node:http";
import { z } from "zod";

/** Longest wait for a peer's state, in milliseconds. */
const responseTimeoutMilliseconds = 400;
const okStatus = 200;

/** What a daemon hands on to a peer that cannot read the registry. */
export const peerStateSchema = z.object({
  version: z.int().min(0),
  /** Time since that version was last known to be the newest, when the answer was written. */
  ageMilliseconds: z.number().min(0),
  /** Left out when the peer has this version. */
  routing: routingSchema.optional(),
  upstreams: z.array(upstreamSchema),
});

export type PeerState = z.infer<typeof peerStateSchema>;

/** Path of a daemon's state on its listener for operators and peers. */
export const peerStatePath = "/peer-state";

/**
 * Asks a peer for its state. Rejects when the peer does not answer in time, or not in that form.
 * @param address - Listener of the peer for operators and peers.
 * @param knownVersion - Version of the configuration that need not be sent; -1 for none.
 */
export async function fetchPeerState(address: string, knownVersion: number): Promise<PeerState> {
  const url = `http://${address}${peerStatePath}?known=${String(knownVersion)}`;
  const text = await fetchText(url);
  return peerStateSchema.parse(JSON.parse(text));
}

async function fetchText(url: string): Promise<string> {
  return new Promise((resolve, reject) => {
    const request = get(url, { agent: false, timeout: responseTimeoutMilliseconds }, (response) => {
      const chunks: Buffer[] = [];
      response.on("data", (chunk: Buffer) => chunks.push(chunk));
      response.on("error", reject);
      response.on("end", () => {
        if (response.statusCode === okStatus) {
          resolve(Buffer.concat(chunks).toString("utf8"));
        } else {
          reject(new Error(`status ${String(response.statusCode)} of ${url}`));
        }
      });
    });
    request.on("timeout", () => {
      request.destroy(
        new Error(`no answer of ${url} in ${String(responseTimeoutMilliseconds)} ms`),
      );
    });
    request.on("error", reject);
  });
}
