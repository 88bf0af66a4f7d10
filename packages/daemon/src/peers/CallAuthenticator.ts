import type { Instant } from "@pistachioway/kernel";
import { createHmac, timingSafeEqual } from "node:crypto";
import { Result } from "true-myth";
import type { DropReason } from "./drops.js";

/** Largest age of an accepted call, and largest time that its caller's clock may be ahead. */
export const maxCallAgeMilliseconds = 5_000;

/** Header fields that authenticate a call between daemons. */
export const peerHeaders = {
  from: "x-peer-from",
  at: "x-peer-at",
  mac: "x-peer-mac",
} as const;

/** Name of the receiver in a call to a peer whose name the caller does not know yet. */
export const anyReceiver = "";

/** Values of the header fields that authenticate a call. */
export interface CallHeaders {
  /** Name of the caller, a slash, and an id that is unique to the call. */
  readonly from: string;
  readonly at: string;
  readonly mac: string;
}

/** A call as it goes over the wire. */
export interface WireCall {
  readonly method: string;
  /** Path and query. */
  readonly path: string;
  readonly body: string;
}

/** Signs and verifies the calls between daemons, and their answers. */
export class CallAuthenticator {
  private readonly expiryByMac = new Map<string, Instant>();

  private constructor(
    private readonly key: string,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Creates an authenticator.
   * @param key - Key that all daemons share.
   * @param getNow - Reads the clock.
   */
  static create(key: string, getNow: () => Instant): CallAuthenticator {
    return new CallAuthenticator(key, getNow);
  }

  /**
   * Signs a call.
   * @param from - Name of this daemon, a slash, and an id that is used only once.
   * @param to - Name of the peer; authenticated, but not sent.
   * @param call - The call.
   */
  sign(from: string, to: string, call: WireCall): CallHeaders {
    const at = String(this.getNow());
    return { from, at, mac: this.getCallMac(from, at, to, call) };
  }

  /**
   * Verifies a received call and returns the name of its caller; accepts each call only once.
   * @param headers - Header fields of the call; empty when they are missing.
   * @param receivers - Names of the receiver that the call may be signed for.
   * @param call - The call.
   */
  verify(
    headers: CallHeaders,
    receivers: readonly string[],
    call: WireCall,
  ): Result<string, DropReason> {
    const { from, at, mac } = headers;
    if (!receivers.some((to) => isEqual(mac, this.getCallMac(from, at, to, call)))) {
      return Result.err("forged");
    }
    const now = this.getNow();
    if (Math.abs(now - Number(at)) > maxCallAgeMilliseconds) {
      return Result.err("old");
    }
    this.deleteExpired(now);
    if (this.expiryByMac.has(mac)) {
      return Result.err("replayed");
    }
    this.expiryByMac.set(mac, Number(at) + maxCallAgeMilliseconds);
    return Result.ok(from.split("/")[0] ?? "");
  }

  /**
   * Signs an answer together with its call, so that it can't pass as the answer to another call.
   * @param callMac - Authentication code of the call.
   * @param status - HTTP status of the answer.
   * @param body - Body of the answer.
   */
  signAnswer(callMac: string, status: number, body: string): string {
    return this.getMac([callMac, String(status), body]);
  }

  /**
   * Checks whether an answer was signed for a call.
   * @param mac - Authentication code of the answer; empty when it is missing.
   * @param callMac - Authentication code of the call.
   * @param status - HTTP status of the answer.
   * @param body - Body of the answer.
   */
  isAuthenticAnswer(mac: string, callMac: string, status: number, body: string): boolean {
    return isEqual(mac, this.signAnswer(callMac, status, body));
  }

  private getCallMac(from: string, at: string, to: string, call: WireCall): string {
    return this.getMac([from, at, to, call.method, call.path, call.body]);
  }

  private getMac(fields: readonly string[]): string {
    const hmac = createHmac("sha256", this.key);
    for (const field of fields) {
      hmac.update(`${String(Buffer.byteLength(field))}:`).update(field);
    }
    return hmac.digest("base64url");
  }

  /** Stops at the first unexpired call: calls arrive almost in the order of their expiry. */
  private deleteExpired(now: Instant): void {
    for (const [mac, expiresAt] of this.expiryByMac) {
      if (expiresAt >= now) {
        return;
      }
      this.expiryByMac.delete(mac);
    }
  }
}

function isEqual(a: string, b: string): boolean {
  const left = Buffer.from(a);
  const right = Buffer.from(b);
  return left.length === right.length && timingSafeEqual(left, right);
}
