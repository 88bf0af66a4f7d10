/** Subjects of the parts of a datagram; the position in the list is what is sent. */
export const datagramTopics = [
  "heartbeat",
  "placement",
  "signs",
  "teamTotals",
  "configuration",
  "holdings",
] as const;

export type DatagramTopic = (typeof datagramTopics)[number];

/** One part of a digest; its value must consist of MessagePack's own types. */
export interface DatagramPart {
  readonly topic: DatagramTopic;
  readonly value: unknown;
  /**
   * Splits a value that is too large for one datagram; without it the part is sent alone.
   * @param value - Value to split.
   */
  readonly split?: (value: unknown) => readonly unknown[];
}

/**
 * Splits a list into halves.
 * @param value - List to split; anything else stays whole.
 */
export function splitList(value: unknown): readonly unknown[] {
  if (!Array.isArray(value) || value.length < 2) {
    return [value];
  }
  const middle = Math.ceil(value.length / 2);
  return [value.slice(0, middle), value.slice(middle)];
}
