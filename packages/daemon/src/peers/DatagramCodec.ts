import { Packr } from "msgpackr";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Result } from "true-myth";
import { z } from "zod";
import type { DropReason } from "./drops.js";
import { datagramTopics, type DatagramPart, type DatagramTopic } from "./topics.js";

/** Size of the authentication code at the end of a datagram. */
export const macBytes = 16;

const packr = new Packr({ useRecords: false });

/** Sender, its start, sequence number, milliseconds from that start to sending, and the parts. */
const envelopeSchema = z.tuple([
  z.string().min(1),
  z.number(),
  z.int().min(1),
  z.number(),
  z.array(
    z.tuple([
      z
        .int()
        .min(0)
        .max(datagramTopics.length - 1),
      z.unknown(),
    ]),
  ),
]);

/** One part of a received datagram. */
export interface ReceivedPart {
  readonly topic: DatagramTopic;
  readonly value: unknown;
}

/** Content of a datagram whose authentication code was correct. */
export interface Envelope {
  readonly sender: string;
  /** Start of the sender, in milliseconds since the epoch. */
  readonly incarnation: number;
  readonly sequence: number;
  /** Time of sending, by the sender's clock. */
  readonly at: number;
  readonly parts: readonly ReceivedPart[];
}

/** Encodes parts as authenticated datagrams and decodes them. */
export class DatagramCodec {
  private constructor(private readonly key: string) {}

  /**
   * Creates a codec.
   * @param key - Key that all daemons share.
   */
  static create(key: string): DatagramCodec {
    return new DatagramCodec(key);
  }

  /**
   * Encodes one datagram.
   * @param to - Name of the receiver; authenticated, but not sent.
   * @param envelope - Sender and time of the datagram.
   * @param parts - What to send.
   */
  encode(to: string, envelope: Omit<Envelope, "parts">, parts: readonly DatagramPart[]): Buffer {
    const { sender, incarnation, sequence, at } = envelope;
    const packedParts = parts.map((part) => [datagramTopics.indexOf(part.topic), part.value]);
    const body = packr.pack([sender, incarnation, sequence, at - incarnation, packedParts]);
    return Buffer.concat([body, this.getMac(to, body)]);
  }

  /**
   * Decodes one datagram.
   * @param to - Name of this daemon.
   * @param datagram - Received bytes.
   */
  decode(to: string, datagram: Buffer): Result<Envelope, DropReason> {
    if (datagram.length <= macBytes) {
      return Result.err("truncated");
    }
    const body = datagram.subarray(0, datagram.length - macBytes);
    const mac = datagram.subarray(datagram.length - macBytes);
    return timingSafeEqual(mac, this.getMac(to, body)) ? unpack(body) : Result.err("forged");
  }

  private getMac(to: string, body: Uint8Array): Buffer {
    const hmac = createHmac("sha256", this.key).update(to).update("\0").update(body);
    return hmac.digest().subarray(0, macBytes);
  }
}

function unpack(body: Buffer): Result<Envelope, DropReason> {
  const parsed = envelopeSchema.safeParse(unpackOrUndefined(body));
  if (!parsed.success) {
    return Result.err("malformed");
  }
  const [sender, incarnation, sequence, uptimeMilliseconds, packedParts] = parsed.data;
  const parts = packedParts.map(([index, value]) => ({
    topic: datagramTopics[index] ?? "heartbeat",
    value,
  }));
  return Result.ok({ sender, incarnation, sequence, at: incarnation + uptimeMilliseconds, parts });
}

function unpackOrUndefined(body: Buffer): unknown {
  try {
    return packr.unpack(body);
  } catch {
    return undefined;
  }
}
