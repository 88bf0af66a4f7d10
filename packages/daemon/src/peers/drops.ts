/** Why a message from a peer was dropped. */
export const dropReasons = [
  "truncated",
  "forged",
  "malformed",
  "old",
  "replayed",
  "unlisted",
] as const;

export type DropReason = (typeof dropReasons)[number];

/** Messages dropped so far, by reason. */
export type DropCounts = Record<DropReason, number>;

/** Creates counts of zero. */
export function createDropCounts(): DropCounts {
  return { truncated: 0, forged: 0, malformed: 0, old: 0, replayed: 0, unlisted: 0 };
}
