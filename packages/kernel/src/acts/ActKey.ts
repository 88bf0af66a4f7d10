import { createHmac, timingSafeEqual } from "node:crypto";
import { Maybe } from "true-myth";
import { z } from "zod";
import type { Instant } from "../kernel/index.js";

const keyPrefix = "act1";
const macBytes = 16;
const maxKeyLength = 512;

const payloadSchema = z.tuple([
  z.string().min(1),
  z.string().min(1),
  z.int().min(0),
  z.number().min(0),
]);

/** Key under which one act runs at most once. It names its issuer and contains the issuer's MAC. */
export class ActKey {
  private constructor(
    /** Name of the daemon that issued the key. */
    readonly issuer: string,
    /** Incarnation of that daemon. */
    readonly incarnation: string,
    /** Sequence number of the key within the incarnation. */
    readonly sequence: number,
    readonly expiresAt: Instant,
    /** Encoded key, as callers send it. */
    readonly text: string,
  ) {}

  /**
   * Creates a key.
   * @param secret - Secret of the issuer's incarnation.
   */
  static create(
    issuer: string,
    incarnation: string,
    sequence: number,
    expiresAt: Instant,
    secret: Uint8Array,
  ): ActKey {
    const payload = JSON.stringify([issuer, incarnation, sequence, expiresAt]);
    const body = `${keyPrefix}.${Buffer.from(payload).toString("base64url")}`;
    const text = `${body}.${getMac(body, secret).toString("base64url")}`;
    return new ActKey(issuer, incarnation, sequence, expiresAt, text);
  }

  /**
   * Parses a key without checking its MAC. Gets nothing for a text that no daemon can have issued.
   * @param text - Encoded key, as a caller sent it.
   */
  static parse(text: string): Maybe<ActKey> {
    const [prefix, payload, mac, ...rest] = text.length > maxKeyLength ? [] : text.split(".");
    if (prefix !== keyPrefix || !payload || !mac || rest.length > 0) {
      return Maybe.nothing();
    }
    const parsed = payloadSchema.safeParse(parseJson(payload));
    return parsed.success ? Maybe.just(new ActKey(...parsed.data, text)) : Maybe.nothing();
  }

  /** Identifier of the act in records, events and attempts. */
  get actId(): string {
    return `${this.issuer}/${this.incarnation}/${String(this.sequence)}`;
  }

  /**
   * Checks whether the MAC is valid, in constant time.
   * @param secret - Secret of the issuer's incarnation.
   */
  isAuthentic(secret: Uint8Array): boolean {
    const end = this.text.lastIndexOf(".");
    const actual = Buffer.from(this.text.slice(end + 1), "base64url");
    const expected = getMac(this.text.slice(0, end), secret);
    return actual.length === expected.length && timingSafeEqual(actual, expected);
  }
}

function getMac(body: string, secret: Uint8Array): Buffer {
  return createHmac("sha256", secret).update(body).digest().subarray(0, macBytes);
}

function parseJson(payload: string): unknown {
  try {
    return JSON.parse(Buffer.from(payload, "base64url").toString("utf8"));
  } catch {
    return undefined;
  }
}
