import { Result } from "true-myth";
import { InvalidPeerMessageError } from "../errors/index.js";
import { placementPeerMessageSchema, type PlacementPeerMessage } from "./peerMessage.js";

/** A peer message as flat arrays of numbers for MessagePack, without empty arrays at the end. */
export type PackedPeerMessage = (number | number[] | null)[];

const outcomes = ["granted", "refused", "redirected", "unknown"] as const;

/**
 * Packs a peer message into a compact form.
 * @param message - Message to pack.
 */
export function packPeerMessage(message: PlacementPeerMessage): PackedPeerMessage {
  const packed: PackedPeerMessage = [
    message.sequence,
    message.totals.flatMap(({ model, count }) => [model, count]),
    message.counts?.flatMap(({ engine, count }) => [engine, count]) ?? null,
    message.claims?.flatMap(({ engine, count }) => [engine, count]) ?? null,
    message.reservations.flatMap((entry) => [
      entry.id,
      entry.engine,
      entry.model,
      entry.chat,
      entry.level ? 1 : 0,
    ]),
    message.answers.flatMap((entry) => [
      entry.id,
      outcomes.indexOf(entry.outcome),
      entry.engine,
      entry.count,
    ]),
    message.moves.flatMap(({ chat, engine }) => [chat, engine]),
  ];
  while (packed.length > 4 && (packed.at(-1) as number[]).length === 0) {
    packed.pop();
  }
  return packed;
}

/**
 * Parses and validates a packed peer message from the network.
 * @param packed - Decoded MessagePack.
 */
export function parsePeerMessage(
  packed: unknown,
): Result<PlacementPeerMessage, InvalidPeerMessageError> {
  if (!Array.isArray(packed)) {
    return Result.err(new InvalidPeerMessageError("it is not a list"));
  }
  const [sequence, totals, counts, claims, reservations, answers, moves] = packed as unknown[];
  const parsed = placementPeerMessageSchema.safeParse({
    sequence,
    totals: getGroups(totals, 2).map(([model, count]) => ({ model, count })),
    counts: getEngineCounts(counts),
    claims: getEngineCounts(claims),
    reservations: getGroups(reservations, 5).map(([id, engine, model, chat, level]) => ({
      id,
      engine,
      model,
      chat,
      level: getFlag(level),
    })),
    answers: getGroups(answers, 4).map(([id, outcome, engine, count]) => ({
      id,
      outcome: outcomes[outcome as number],
      engine,
      count,
    })),
    moves: getGroups(moves, 2).map(([chat, engine]) => ({ chat, engine })),
  });
  return parsed.success
    ? Result.ok(parsed.data)
    : Result.err(new InvalidPeerMessageError(parsed.error.issues[0]?.message ?? "unknown issue"));
}

function getEngineCounts(flat: unknown): object[] | null {
  return flat === null || flat === undefined
    ? null
    : getGroups(flat, 2).map(([engine, count]) => ({ engine, count }));
}

/** Converts 0 or 1 to a boolean. Returns any other value as it is, for the schema to reject. */
function getFlag(value: unknown): unknown {
  return value === 0 || value === 1 ? value === 1 : value;
}

/** Splits a flat array into groups. Keeps an incomplete last one, for the schema to reject. */
function getGroups(flat: unknown, size: number): unknown[][] {
  const list: unknown[] = Array.isArray(flat) ? flat : flat === undefined ? [] : [flat];
  const groups: unknown[][] = [];
  for (let start = 0; start < list.length; start += size) {
    groups.push(list.slice(start, start + size));
  }
  return groups;
}
