import { Packr } from "msgpackr";
import { z } from "zod";

const maxTextLength = 128;
const packr = new Packr({ useRecords: false });
const text = z.string().max(maxTextLength);

/** First byte of datagrams on streams, which no text of the gossip's encoding begins with. */
const streamMarker = 0xc1;
const codes = { keep: 0, ask: 1, answer: 2 } as const;

/** In place of the only version of a service: its sender knows of several. Builds without it take it for another one. */
const severalVersions = "";

/**
 * Id of the stream, then its software version or its service. An answer has null when the version is not known,
 * then the only version of the service, or null, and the milliseconds for which its sender has kept versions.
 */
const datagramSchema = z.union([
  z.tuple([z.literal(codes.keep), text, text]),
  z.tuple([z.literal(codes.ask), text, text]),
  z.tuple([z.literal(codes.answer), text, text.nullable(), text.nullable(), z.int().min(0)]),
]);

/** What daemons tell each other about the software version at which a stream began. */
export type StreamMessage =
  | { readonly kind: "keep"; readonly id: string; readonly version: string }
  | { readonly kind: "ask"; readonly id: string; readonly service: string }
  | {
      readonly kind: "answer";
      readonly id: string;
      /** The version that the sender was told. */
      readonly version: string | undefined;
      /** The only version that the service had of late, if the sender knows. */
      readonly onlyVersion: string | undefined;
      /** Whether the sender knows that the service had several versions of late. */
      readonly hasSeveral: boolean;
      /** Time for which the sender has kept the versions that it was told. */
      readonly keptMilliseconds: number;
    };

/**
 * Checks whether a request id or a version fits into a message.
 * @param value - The id or version.
 */
export function isSendable(value: string): boolean {
  return value.length <= maxTextLength;
}

/**
 * Encodes a message as one datagram.
 * @param message - Message to send.
 */
export function encodeStreamMessage(message: StreamMessage): Buffer {
  return Buffer.concat([Buffer.of(streamMarker), packr.pack(toFields(message))]);
}

function toFields(message: StreamMessage): z.infer<typeof datagramSchema> {
  switch (message.kind) {
    case "keep":
      return [codes.keep, message.id, message.version];
    case "ask":
      return [codes.ask, message.id, message.service];
    case "answer":
      return [
        codes.answer,
        message.id,
        message.version ?? null,
        message.hasSeveral ? severalVersions : (message.onlyVersion ?? null),
        message.keptMilliseconds,
      ];
  }
}

/**
 * Checks whether a datagram is one on streams, by its first byte.
 * @param bytes - Bytes that were received.
 */
export function isStreamDatagram(bytes: Buffer): boolean {
  return bytes[0] === streamMarker;
}

/**
 * Decodes a datagram.
 * @param bytes - Bytes that were received.
 * @returns Undefined when they are malformed.
 */
export function decodeStreamMessage(bytes: Buffer): StreamMessage | undefined {
  const datagram = datagramSchema.safeParse(unpack(bytes.subarray(1))).data;
  if (datagram === undefined) {
    return undefined;
  }
  const [code, id, argument, onlyVersion] = datagram;
  switch (code) {
    case codes.keep:
      return { kind: "keep", id, version: argument };
    case codes.ask:
      return { kind: "ask", id, service: argument };
    case codes.answer:
      return {
        kind: "answer",
        id,
        version: argument ?? undefined,
        onlyVersion: onlyVersion === severalVersions ? undefined : (onlyVersion ?? undefined),
        hasSeveral: onlyVersion === severalVersions,
        keptMilliseconds: datagram[4],
      };
  }
}

function unpack(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
}
