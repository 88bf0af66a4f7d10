import type { FleetMessage, FleetNotice, MemberState } from "@pistachioway/kernel";
import { Packr } from "msgpackr";
import { isIPv4 } from "node:net";
import { z } from "zod";

/**
 * Version of the format; datagrams of another one are refused. Builds run side by side during an upgrade, so a
 * datagram keeps to what the build before reads: see decision 0015.
 */
const formatVersion = 3;
const maxStates = 64;
const maxNotices = 64;
const maxTextLength = 64;
const maxRunningCounts = 256;
const maxUnreachedServices = 32;
const maxPort = 65_535;
/** Age of a configuration that was never confirmed, as the format has no infinity. */
const neverConfirmedAge = -1;

const packr = new Packr({ useRecords: false });

const uint32 = z.int().min(0).max(0xffffffff);
const text = z.string().min(1).max(maxTextLength);
/** Address that datagrams can be sent to: sending to another one throws. */
const address = text.refine(isAddress);
const port = z.int().min(1).max(maxPort);
/** Time between an instant and the sending of the message; the clocks of two hosts differ. */
const age = z.int().min(0);

/** Hash of an upstream's id, and number of requests. */
const runningCountBytes = 6;
const hashBytes = 4;
const maxCount = 0xffff;

/**
 * Name, address, port for operators, zone, incarnation, sequence, age, version, age of the version, and counts, of
 * which a count of 0 names a service that the daemon does not reach. Further fields are those of later builds.
 */
const stateSchema = z
  .tuple([
    text,
    address,
    port,
    text,
    z.int().min(0),
    z.int().min(0),
    age,
    z.int().min(-1),
    z.int().min(neverConfirmedAge),
    z.instanceof(Uint8Array).refine(isRunningCounts),
  ])
  .rest(z.unknown());

const noticeCodes = {
  prefix: 0,
  leaving: 1,
  resting: 2,
  loss: 3,
  served: 4,
  quarantine: 5,
  limit: 6,
  noLimit: 7,
  pace: 8,
} as const;

const noticeSchemas = [
  z.tuple([z.literal(noticeCodes.prefix), uint32, uint32, age]).rest(z.unknown()),
  z.tuple([z.literal(noticeCodes.leaving), text, z.number()]).rest(z.unknown()),
  /** The remaining time of the rest is last. */
  z.tuple([z.literal(noticeCodes.resting), text, z.int().min(0)]).rest(z.unknown()),
  /** Content, upstream and request. */
  z.tuple([z.literal(noticeCodes.loss), uint32, uint32, uint32, age]).rest(z.unknown()),
  z.tuple([z.literal(noticeCodes.served), uint32, age]).rest(z.unknown()),
  /** Content, age of its first loss, remaining time and count of its quarantines. */
  z
    .tuple([z.literal(noticeCodes.quarantine), uint32, age, z.int().min(0), z.int().min(1)])
    .rest(z.unknown()),
  z.tuple([z.literal(noticeCodes.limit), text, z.number().min(0), age]).rest(z.unknown()),
  z.tuple([z.literal(noticeCodes.noLimit), text, age]).rest(z.unknown()),
  /** Requests a second, 0 when unrestricted; 1 when it was reduced, else 0. */
  z
    .tuple([z.literal(noticeCodes.pace), text, z.number().min(0), z.int().min(0).max(1), age])
    .rest(z.unknown()),
] as const;

const datagramSchema = z
  .tuple([
    z.literal(formatVersion),
    z.array(z.unknown()).min(1).max(maxStates),
    z.array(z.unknown()).max(maxNotices),
  ])
  .rest(z.unknown());

/** Called for each part of a message that is passed over. */
export type SkippedPartListener = () => void;

type EncodedState = z.infer<typeof stateSchema>;
type EncodedNotice = z.infer<(typeof noticeSchemas)[number]>;

/**
 * Encodes notices with ages in place of instants.
 * @param notices - The notices.
 * @param now - Local time of sending.
 */
export function encodeNotices(notices: readonly FleetNotice[], now: number): unknown {
  return notices.map((notice) => encodeNotice(notice, now));
}

/**
 * Decodes notices that `encodeNotices` encoded. Those of unknown kinds are passed over.
 * @param encoded - Encoded notices.
 * @param now - Local time of arrival.
 * @param onSkipped - Called for each notice that is passed over.
 * @returns Undefined when they are no list of notices.
 */
export function decodeNotices(
  encoded: unknown,
  now: number,
  onSkipped: SkippedPartListener = () => undefined,
): readonly FleetNotice[] | undefined {
  const notices = z.array(z.unknown()).max(maxNotices).safeParse(encoded).data;
  return notices?.flatMap((notice) => {
    const decoded = parseNotice(notice);
    if (decoded === undefined) {
      onSkipped();
      return [];
    }
    return [decodeNotice(decoded, now)];
  });
}

/** Checks a notice by the schema of its kind, whose code is the schema's index. */
function parseNotice(encoded: unknown): EncodedNotice | undefined {
  const code: unknown = Array.isArray(encoded) ? encoded[0] : undefined;
  return typeof code === "number" ? noticeSchemas[code]?.safeParse(encoded).data : undefined;
}

/**
 * Encodes a message as one datagram.
 * @param message - Message to send.
 * @param now - Local monotonic time of sending.
 */
export function encodeDatagram({ states, notices }: FleetMessage, now: number): Buffer {
  const datagram = [
    formatVersion,
    states.map((state) => encodeState(state, now)),
    notices.map((notice) => encodeNotice(notice, now)),
  ];
  return packr.pack(datagram);
}

/**
 * Decodes a datagram. States and notices that cannot be read, as those of a later build, are passed over one by one.
 * Without the state of the sender, which is the first, the other states are left out as well.
 * @param bytes - Bytes that were received.
 * @param now - Local monotonic time of arrival.
 * @param onSkipped - Called for each part that is passed over.
 * @returns Undefined when the bytes are no message of this format.
 */
export function decodeDatagram(
  bytes: Buffer,
  now: number,
  onSkipped: SkippedPartListener = () => undefined,
): FleetMessage | undefined {
  const datagram = datagramSchema.safeParse(unpack(bytes)).data;
  if (datagram === undefined) {
    return undefined;
  }
  const [, encodedStates, encodedNotices] = datagram;
  const states = encodedStates.map((state) => stateSchema.safeParse(state).data);
  states.filter((state) => state === undefined).forEach(onSkipped);
  const readable = states.filter((state) => state !== undefined);
  return {
    states: states[0] === undefined ? [] : readable.map((state) => decodeState(state, now)),
    notices: decodeNotices(encodedNotices, now, onSkipped) ?? [],
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
    encodeCounts(state),
  ];
}

function decodeState(encoded: EncodedState, now: number): MemberState {
  const [name, address, operationsPort, zone, incarnation, sequence] = encoded;
  const [, , , , , , stateAge, version, versionAge, counts, unreached] = encoded;
  const [host = ""] = address.split(":");
  const { running, unreached: named } = decodeCounts(counts);
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
    running,
    unreachedServices: new Set([...named, ...decodeUnreached(unreached)]),
  };
}

function isAddress(encoded: string): boolean {
  const [host = "", portText = "", ...rest] = encoded.split(":");
  return isIPv4(host) && /^\d+$/.test(portText) && isPort(Number(portText)) && rest.length === 0;
}

function isPort(number: number): boolean {
  return port.safeParse(number).success;
}

function isRunningCounts({ length }: Uint8Array): boolean {
  return length % runningCountBytes === 0 && length <= maxRunningCounts * runningCountBytes;
}

function isHashes({ length }: Uint8Array): boolean {
  return length % hashBytes === 0 && length <= maxUnreachedServices * hashBytes;
}

/** Decodes the field that some builds have for services that they do not reach. */
function decodeUnreached(encoded: unknown): readonly number[] {
  if (!(encoded instanceof Uint8Array) || !isHashes(encoded)) {
    return [];
  }
  const bytes = Buffer.from(encoded.buffer, encoded.byteOffset, encoded.byteLength);
  const count = bytes.length / hashBytes;
  return Array.from({ length: count }, (_, index) => bytes.readUInt32BE(index * hashBytes));
}

/** Encodes the running requests by upstream, and each service that is not reached with a count of 0. */
function encodeCounts({ running, unreachedServices }: MemberState): Uint8Array<ArrayBuffer> {
  const unreached = [...unreachedServices].slice(0, maxUnreachedServices);
  const counts = [...running, ...unreached.map((service) => [service, 0] as const)];
  const bytes = Buffer.from(new ArrayBuffer(counts.length * runningCountBytes));
  counts.forEach(([hash, count], index) => {
    const offset = index * runningCountBytes;
    bytes.writeUInt32BE(hash, offset);
    bytes.writeUInt16BE(Math.min(count, maxCount), offset + hashBytes);
  });
  return bytes;
}

interface DecodedCounts {
  readonly running: ReadonlyMap<number, number>;
  readonly unreached: ReadonlySet<number>;
}

function decodeCounts(encoded: Uint8Array): DecodedCounts {
  const bytes = Buffer.from(encoded.buffer, encoded.byteOffset, encoded.byteLength);
  const running = new Map<number, number>();
  const unreached = new Set<number>();
  for (let offset = 0; offset < bytes.length; offset += runningCountBytes) {
    const hash = bytes.readUInt32BE(offset);
    const count = bytes.readUInt16BE(offset + hashBytes);
    if (count === 0) {
      unreached.add(hash);
    } else {
      running.set(hash, count);
    }
  }
  return { running, unreached };
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
    case "pace": {
      const { id, perSecond = 0, isReduced, at } = notice;
      return [noticeCodes.pace, id, perSecond, isReduced ? 1 : 0, toAge(at, now)];
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
    case noticeCodes.pace: {
      const [, id, paced, reduced, paceAge] = encoded;
      const perSecond = paced === 0 ? undefined : paced;
      return { kind: "pace", id, perSecond, isReduced: reduced === 1, at: now - paceAge };
    }
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
