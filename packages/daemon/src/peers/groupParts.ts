import { pack } from "msgpackr";
import type { DatagramPart } from "./topics.js";

/** Largest body of a datagram that contains more than one part. */
export const maxBodyBytes = 1_120;

/**
 * Groups parts into datagrams of at most `maxBodyBytes`. Splits larger parts where possible; a
 * larger part that can't be split gets a datagram of its own.
 * @param parts - Parts for one receiver.
 */
export function groupParts(parts: readonly DatagramPart[]): DatagramPart[][] {
  const groups: DatagramPart[][] = [];
  let group: DatagramPart[] = [];
  let groupBytes = 0;
  for (const { part, bytes } of parts.flatMap(split)) {
    if (group.length > 0 && groupBytes + bytes > maxBodyBytes) {
      groups.push(group);
      group = [];
      groupBytes = 0;
    }
    group.push(part);
    groupBytes += bytes;
  }
  return group.length === 0 ? groups : [...groups, group];
}

interface SizedPart {
  readonly part: DatagramPart;
  readonly bytes: number;
}

function split(part: DatagramPart): SizedPart[] {
  const bytes = pack([0, part.value]).length;
  const values = bytes > maxBodyBytes ? (part.split?.(part.value) ?? []) : [];
  if (values.length < 2) {
    return [{ part, bytes }];
  }
  return values.flatMap((value) => split({ ...part, value }));
}
