import type { FleetMessage, FleetNotice, MemberState } from "@pistachioway/kernel";
import { Packr } from "msgpackr";
import { z } from "zod";

/** Version of the format; datagrams of another one are refused. */
const formatVersion = 3;
const maxStates = 64;
const maxNotices = 64;
const maxTextLength = 64;
const maxRunningCounts = 256;
const maxUnreachedServices = 32;
/** Age of a configuration that was never confirmed, as the format has no infinity. */
const neverConfirmedAge = -1;

const packr = new Packr({ useRecords: false });

const uint32 = z.int().min(0).max(0xffffffff);
const text = z.string().min(1).max(maxTextLength);
/** Time between an instant and the sending of the message; the clocks of two hosts differ. */
const age = z.int().min(0);

/** Hash of an upstream's id, and number of requests. */
const runningCountBytes = 6;
const hashBytes = 4;
const maxCount = 0xffff;

/**
 * Name, address, port for operators, zone, incarnation, sequence, age, version, age of the version, counts and
 * services that it does not reach.
 */
const stateSchema = z.tuple([
  text,
  text,
  z.int().min(1).max(65_535),
  text,
  z.int().min(0),
  z.int().min(0),
  age,
  z.int().min(-1),
  z.int().min(neverConfirmedAge),
  z.instanceof(Uint8Array).refine(isRunningCounts),
  /** Hashes of services; left out by a daemon that reaches all of its services. */
  z.instanceof(Uint8Array).refine(isHashes).optional(),
]);

const noticeCodes = {
  prefix: 0,
  leaving: 1,
  resting: 2,
  loss: 3,
  served: 4,
  quarantine: 5,
  limit: 6,
  noLimit: 7,
} as const;

const noticeSchema = z.union([
  z.tuple([z.literal(noticeCodes.prefix), uint32, uint32, age]),
  z.tuple([z.literal(noticeCodes.leaving), text, z.number()]),
  /** The remaining time of the rest is last. */
  z.tuple([z.literal(noticeCodes.resting), text, z.int().min(0)]),
  z.tuple([z.literal(noticeCodes.limit), text, z.number().min(0), age]),
  z.tuple([z.literal(noticeCodes.noLimit), text, age]),
  /** Content, upstream and request. */
  z.tuple([z.literal(noticeCodes.loss), uint32, uint32, uint32, age]),
  z.tuple([z.literal(noticeCodes.served), uint32, age]),
  /** Content, age of its first loss, remaining time and count of its quarantines. */
  z.tuple([z.literal(noticeCodes.quarantine), uint32, age, z.int().min(0), z.int().min(1)]),
]);

const datagramSchema = z.tuple([
  z.literal(formatVersion),
  z.array(stateSchema).min(1).max(maxStates),
  z.array(noticeSchema).max(maxNotices),
]);

type EncodedState = z.infer<typeof stateSchema>;
type EncodedNotice = z.infer<typeof noticeSchema>;

/**
 * Encodes notices with ages in place of instants.
 * @param notices - The notices.
 * @param now - Local time of sending.
 */
export function encodeNotices(notices: readonly FleetNotice[], now: number): unknown {
  return notices.map((notice) => encodeNotice(notice, now));
}

/**
 * Decodes notices that `encodeNotices` encoded.
 * @param encoded - Encoded notices.
 * @param now - Local time of arrival.
 * @returns Undefined when they are malformed.
 */
export function decodeNotices(encoded: unknown, now: number): readonly FleetNotice[] | undefined {
  const notices = z.array(noticeSchema).max(maxNotices).safeParse(encoded).data;
  return notices?.map((notice) => decodeNotice(notice, now));
}

/**
 * Encodes a message as one datagram.
 * @param message - Message to send.
 * @param now - Local monotonic time of sending.
 */
export function encodeDatagram({ states, notices }: FleetMessage, now: number): Buffer {
  const datagram: z.infer<typeof datagramSchema> = [
    formatVersion,
    states.map((state) => encodeState(state, now)),
    notices.map((notice) => encodeNotice(notice, now)),
  ];
  return packr.pack(datagram);
}

/**
 * Decodes a datagram.
 * @param bytes - Bytes that were received.
 * @param now - Local monotonic time of arrival.
 * @returns Undefined when the bytes are no message of this format.
 */
export function decodeDatagram(bytes: Buffer, now: number): FleetMessage | undefined {
  const datagram = datagramSchema.safeParse(unpack(bytes)).data;
  if (datagram === undefined) {
    return undefined;
  }
  const [, states, notices] = datagram;
  return {
    states: states.map((state) => decodeState(state, now)),
    notices: notices.map((notice) => decodeNotice(notice, now)),
  };
}

function unpack(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
}

function encodeState(state: MemberState, now: number): EncodedState {
  const { name, address, operations, zone, incarnation, sequence, version } = state;
  const [, operationsPort = ""] = operations.split(":");
  const isConfirmed = Number.isFinite(state.confirmedAt);
  return [
    name,
    address,
    Number(operationsPort),
    zone,
    incarnation,
    sequence,
    toAge(state.sampledAt, now),
    version,
    isConfirmed ? toAge(state.confirmedAt, now) : neverConfirmedAge,
    encodeRunning(state.running),
    ...encodeUnreached(state.unreachedServices),
  ];
}

function decodeState(encoded: EncodedState, now: number): MemberState {
  const [name, address, operationsPort, zone, incarnation, sequence] = encoded;
  const [, , , , , , stateAge, version, versionAge, counts, unreached] = encoded;
  const [host = ""] = address.split(":");
  return {
    name,
    address,
    operations: `${host}:${String(operationsPort)}`,
    zone,
    incarnation,
    sequence,
    sampledAt: now - stateAge,
    version,
    confirmedAt: versionAge === neverConfirmedAge ? -Infinity : now - versionAge,
    running: decodeRunning(counts),
    unreachedServices: decodeHashes(unreached ?? new Uint8Array()),
  };
}

function isRunningCounts({ length }: Uint8Array): boolean {
  return length % runningCountBytes === 0 && length <= maxRunningCounts * runningCountBytes;
}

function isHashes({ length }: Uint8Array): boolean {
  return length % hashBytes === 0 && length <= maxUnreachedServices * hashBytes;
}

/** Encodes the hashes as one field, or none when there are no services. */
function encodeUnreached(services: ReadonlySet<number>): [Uint8Array<ArrayBuffer>] | [] {
  if (services.size === 0) {
    return [];
  }
  const hashes = [...services].slice(0, maxUnreachedServices);
  const bytes = Buffer.from(new ArrayBuffer(hashes.length * hashBytes));
  hashes.forEach((hash, index) => bytes.writeUInt32BE(hash, index * hashBytes));
  return [bytes];
}

function decodeHashes(encoded: Uint8Array): ReadonlySet<number> {
  const bytes = Buffer.from(encoded.buffer, encoded.byteOffset, encoded.byteLength);
  const count = bytes.length / hashBytes;
  return new Set(
    Array.from({ length: count }, (_, index) => bytes.readUInt32BE(index * hashBytes)),
  );
}

function encodeRunning(running: ReadonlyMap<number, number>): Uint8Array<ArrayBuffer> {
  const bytes = Buffer.from(new ArrayBuffer(running.size * runningCountBytes));
  let offset = 0;
  for (const [upstream, count] of running) {
    bytes.writeUInt32BE(upstream, offset);
    bytes.writeUInt16BE(Math.min(count, maxCount), offset + hashBytes);
    offset += runningCountBytes;
  }
  return bytes;
}

function decodeRunning(encoded: Uint8Array): ReadonlyMap<number, number> {
  const bytes = Buffer.from(encoded.buffer, encoded.byteOffset, encoded.byteLength);
  const running = new Map<number, number>();
  for (let offset = 0; offset < bytes.length; offset += runningCountBytes) {
    running.set(bytes.readUInt32BE(offset), bytes.readUInt16BE(offset + hashBytes));
  }
  return running;
}

function encodeNotice(notice: FleetNotice, now: number): EncodedNotice {
  switch (notice.kind) {
    case "prefix":
      return [noticeCodes.prefix, notice.block, notice.upstream, toAge(notice.at, now)];
    case "leaving":
      return [noticeCodes.leaving, notice.id, notice.bornAt];
    case "resting":
      return [noticeCodes.resting, notice.id, toAge(now, notice.endsAt)];
    case "limit": {
      const { id, perSecond, at } = notice;
      return perSecond === undefined
        ? [noticeCodes.noLimit, id, toAge(at, now)]
        : [noticeCodes.limit, id, perSecond, toAge(at, now)];
    }
    case "loss": {
      const { content, upstream, request, at } = notice;
      return [noticeCodes.loss, content, upstream, request, toAge(at, now)];
    }
    case "served":
      return [noticeCodes.served, notice.content, toAge(notice.at, now)];
    case "quarantine": {
      const { content, lostSince, endsAt, count } = notice;
      return [noticeCodes.quarantine, content, toAge(lostSince, now), toAge(now, endsAt), count];
    }
  }
}

function decodeNotice(encoded: EncodedNotice, now: number): FleetNotice {
  switch (encoded[0]) {
    case noticeCodes.prefix:
      return { kind: "prefix", block: encoded[1], upstream: encoded[2], at: now - encoded[3] };
    case noticeCodes.leaving:
      return { kind: "leaving", id: encoded[1], bornAt: encoded[2] };
    case noticeCodes.resting:
      return { kind: "resting", id: encoded[1], endsAt: now + encoded[2] };
    case noticeCodes.limit: {
      const [, id, perSecond, limitAge] = encoded;
      return { kind: "limit", id, perSecond, at: now - limitAge };
    }
    case noticeCodes.noLimit:
      return { kind: "limit", id: encoded[1], perSecond: undefined, at: now - encoded[2] };
    case noticeCodes.loss: {
      const [, content, upstream, request, lossAge] = encoded;
      return { kind: "loss", content, upstream, request, at: now - lossAge };
    }
    case noticeCodes.served:
      return { kind: "served", content: encoded[1], at: now - encoded[2] };
    case noticeCodes.quarantine: {
      const [, content, lossAge, remaining, count] = encoded;
      return {
        kind: "quarantine",
        content,
        lostSince: now - lossAge,
        endsAt: now + remaining,
        count,
      };
    }
  }
}

function toAge(instant: number, now: number): number {
  return Math.max(0, Math.round(now - instant));
}
