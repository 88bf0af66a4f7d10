import {
  revisionAnnouncementSchema,
  type Instant,
  type Revision,
  type RevisionAnnouncement,
} from "@pistachioway/kernel";

/** A revision as it is sent: generation, revision, and the digest's octets. */
type PackedRevision = readonly [number, number, Uint8Array] | null;

/** A digest as it is sent; the names of daemon and zone come with the heartbeat. */
export type PackedDigest = readonly [
  inForce: PackedRevision,
  refused: PackedRevision,
  confirmedAt: Instant | null,
  isReadFailing: boolean,
];

/**
 * Packs what a daemon tells of its configuration.
 * @param digest - Digest of the revisions plug-in.
 */
export function packRevisionDigest(digest: RevisionAnnouncement): PackedDigest {
  const { inForce, refused, confirmedAt, isReadFailing } = digest;
  return [packRevision(inForce), packRevision(refused), confirmedAt ?? null, isReadFailing];
}

/**
 * Reads what a peer told of its configuration; undefined when it is malformed.
 * @param from - Name of the daemon.
 * @param zone - Its availability zone.
 * @param packed - Decoded MessagePack.
 */
export function parseRevisionDigest(
  from: string,
  zone: string,
  packed: unknown,
): RevisionAnnouncement | undefined {
  const [inForce, refused, confirmedAt, isReadFailing] = Array.isArray(packed)
    ? (packed as unknown[])
    : [];
  const digest = revisionAnnouncementSchema.safeParse({
    from,
    zone,
    inForce: unpackRevision(inForce),
    refused: unpackRevision(refused),
    confirmedAt: confirmedAt ?? undefined,
    isReadFailing,
  });
  return digest.success ? digest.data : undefined;
}

function packRevision(revision: Revision | undefined): PackedRevision {
  return revision === undefined
    ? null
    : [revision.generation, revision.revision, Buffer.from(revision.digest, "hex")];
}

function unpackRevision(packed: unknown): unknown {
  if (!Array.isArray(packed)) {
    return packed ?? undefined;
  }
  const [generation, revision, digest] = packed as unknown[];
  const octets = digest instanceof Uint8Array ? Buffer.from(digest) : Buffer.alloc(0);
  return { generation, revision, digest: octets.toString("hex") };
}
