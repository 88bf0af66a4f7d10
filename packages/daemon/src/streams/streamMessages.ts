import { Packr } from "msgpackr";
import { z } from "zod";

const maxTextLength = 128;
const packr = new Packr({ useRecords: false });
const text = z.string().max(maxTextLength);

/** Marks datagrams on streams; those of the gossip begin with the number of their format. */
const streamMarker = "s1";
const codes = { keep: 0, ask: 1, answer: 2 } as const;

/** Id of the stream, then its software version or its service; null when the version is not known. */
const datagramSchema = z.union([
  z.tuple([z.literal(streamMarker), z.literal(codes.keep), text, text]),
  z.tuple([z.literal(streamMarker), z.literal(codes.ask), text, text]),
  z.tuple([z.literal(streamMarker), z.literal(codes.answer), text, text.nullable()]),
]);

/** What daemons tell each other about the software version at which a stream began. */
export type StreamMessage =
  | { readonly kind: "keep"; readonly id: string; readonly version: string }
  | { readonly kind: "ask"; readonly id: string; readonly service: string }
  | { readonly kind: "answer"; readonly id: string; readonly version: string | undefined };

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
  const argument = message.kind === "ask" ? message.service : (message.version ?? null);
  return packr.pack([streamMarker, codes[message.kind], message.id, argument]);
}

/**
 * Decodes a datagram.
 * @param bytes - Bytes that were received.
 * @returns Undefined when the bytes are no message on streams.
 */
export function decodeStreamMessage(bytes: Buffer): StreamMessage | undefined {
  const datagram = datagramSchema.safeParse(unpack(bytes)).data;
  if (datagram === undefined) {
    return undefined;
  }
  switch (datagram[1]) {
    case codes.keep:
      return { kind: "keep", id: datagram[2], version: datagram[3] };
    case codes.ask:
      return { kind: "ask", id: datagram[2], service: datagram[3] };
    case codes.answer:
      return { kind: "answer", id: datagram[2], version: datagram[3] ?? undefined };
  }
}

function unpack(bytes: Buffer): unknown {
  try {
    return packr.unpack(bytes);
  } catch {
    return undefined;
  }
}
