/** Topics of the parts of a datagram; a datagram contains the position in this list. */
export const datagramTopics = [
  "heartbeat",
  "placement",
  "signs",
  "teamTotals",
  "configuration",
  "holdings",
  "prompts",
] as const;

export type DatagramTopic = (typeof datagramTopics)[number];

/** One part of a datagram; its value must consist of types that MessagePack defines. */
export interface DatagramPart {
  readonly topic: DatagramTopic;
  readonly value: unknown;
  /**
   * Splits a value that is too large for a datagram; without it the part is sent alone.
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
