import type { Instant } from "@pistachioway/kernel";
import { Result } from "true-myth";
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import { request } from "undici";
import { PlatformStatusError, PlatformUnreachableError } from "../errors/index.js";

/** The values that the platform publishes. */
export type PlatformValue = "configuration" | "hosts";

/** What one call of the platform gave. */
export interface ReadResult {
  /** The JSON document; undefined when nothing changed. */
  readonly document: unknown;
  /** Octets of the answer's body as transferred. */
  readonly bytes: number;
}

/** Why a call gave nothing. */
export type ReadError = PlatformStatusError | PlatformUnreachableError;

/** A call of the platform. */
export interface ReadCall {
  readonly address: string;
  readonly value: PlatformValue;
  /** Revision that is known; the call waits for another one. */
  readonly after: number | undefined;
  readonly waitUntil: Instant;
  readonly signal: AbortSignal;
}

const responseGraceMilliseconds = 2_000;
const notModifiedStatus = 304;
const gunzipAsync = promisify(gunzip);

const paths: Readonly<Record<PlatformValue, string>> = {
  configuration: "/v1/values/configuration",
  hosts: "/v1/hosts",
};

/**
 * Reads one value of the platform, waiting for a change when a revision is known.
 * @param call - What to read.
 * @param getNow - Reads the clock.
 */
export async function readValue(
  call: ReadCall,
  getNow: () => Instant,
): Promise<Result<ReadResult, ReadError>> {
  const waitMilliseconds = Math.max(0, Math.round(call.waitUntil - getNow()));
  const timeout = AbortSignal.timeout(waitMilliseconds + responseGraceMilliseconds);
  try {
    const response = await request(
      `http://${call.address}${paths[call.value]}${toQuery(call, waitMilliseconds)}`,
      {
        headers: { "accept-encoding": "gzip" },
        signal: AbortSignal.any([call.signal, timeout]),
      },
    );
    const body = Buffer.from(await response.body.arrayBuffer());
    const bytes = body.length;
    if (response.statusCode === notModifiedStatus) {
      return Result.ok({ document: undefined, bytes });
    }
    if (response.statusCode !== 200) {
      return Result.err(new PlatformStatusError(call.value, response.statusCode));
    }
    const isCompressed = response.headers["content-encoding"] === "gzip";
    const text = (isCompressed ? await gunzipAsync(body) : body).toString("utf8");
    return Result.ok({ document: JSON.parse(text), bytes });
  } catch (error) {
    return Result.err(new PlatformUnreachableError(call.value, error));
  }
}

function toQuery({ after }: ReadCall, waitMilliseconds: number): string {
  return after === undefined ? "" : `?after=${String(after)}&wait=${String(waitMilliseconds)}`;
}
