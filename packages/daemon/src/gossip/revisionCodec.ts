import {
  revisionAnnouncementSchema,
  type Instant,
  type Revision,
  type RevisionAnnouncement,
} from "@pistachioway/kernel";

/** A revision in a datagram: generation, revision, and the bytes of the digest. */
type PackedRevision = readonly [number, number, Uint8Array] | null;

/** An announcement in a datagram; the sender's name and zone are known from the heartbeat. */
export type PackedRevisionAnnouncement = readonly [
  inForce: PackedRevision,
  refused: PackedRevision,
  confirmedAt: Instant | null,
  isReadFailing: boolean,
];

/**
 * Packs what a daemon announces of its configuration.
 * @param announcement - Announcement of the revisions plug-in.
 */
export function packRevisionAnnouncement(
  announcement: RevisionAnnouncement,
): PackedRevisionAnnouncement {
  const { inForce, refused, confirmedAt, isReadFailing } = announcement;
  return [packRevision(inForce), packRevision(refused), confirmedAt ?? null, isReadFailing];
}

/**
 * Parses what a peer announced of its configuration; undefined when it is malformed.
 * @param from - Name of the peer.
 * @param zone - Its availability zone.
 * @param packed - Decoded MessagePack.
 */
export function parseRevisionAnnouncement(
  from: string,
  zone: string,
  packed: unknown,
): RevisionAnnouncement | undefined {
  const [inForce, refused, confirmedAt, isReadFailing] = Array.isArray(packed)
    ? (packed as unknown[])
    : [];
  const announcement = revisionAnnouncementSchema.safeParse({
    from,
    zone,
    inForce: unpackRevision(inForce),
    refused: unpackRevision(refused),
    confirmedAt: confirmedAt ?? undefined,
    isReadFailing,
  });
  return announcement.success ? announcement.data : undefined;
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
  const bytes = digest instanceof Uint8Array ? Buffer.from(digest) : Buffer.alloc(0);
  return { generation, revision, digest: bytes.toString("hex") };
}
