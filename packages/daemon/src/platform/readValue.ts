import type { Instant } from "@pistachioway/kernel";
import { Result } from "true-myth";
import { promisify } from "node:util";
import { gunzip } from "node:zlib";
import { request } from "undici";
import { CallDeadline } from "../deadlines/index.js";
import { PlatformStatusError, PlatformUnreachableError } from "../errors/index.js";

/** The values that the platform publishes. */
export type PlatformValue = "configuration" | "hosts";

/** The result of a successful call to the platform. */
export interface ReadResult {
  /** The parsed JSON document; undefined if the value has not changed. */
  readonly document: unknown;
  /** Size of the response body as transferred, before decompression. */
  readonly bytes: number;
}

/** Reason why a call failed. */
export type ReadError = PlatformStatusError | PlatformUnreachableError;

/** A call to the platform. */
export interface ReadCall {
  readonly address: string;
  readonly value: PlatformValue;
  /** Known revision; the call waits for a different one. Undefined: does not wait. */
  readonly after: number | undefined;
  readonly waitUntil: Instant;
  readonly signal: AbortSignal;
}

/** Time for the response after the platform has stopped waiting for a change. */
const responseGraceMilliseconds = 2_000;
const notModifiedStatus = 304;
const gunzipAsync = promisify(gunzip);

const paths: Readonly<Record<PlatformValue, string>> = {
  configuration: "/v1/values/configuration",
  hosts: "/v1/hosts",
};

/**
 * Reads a value of the platform. Waits for a change if a revision is known.
 * @param call - Value to read and how long to wait.
 * @param getNow - Reads the clock.
 */
export async function readValue(
  call: ReadCall,
  getNow: () => Instant,
): Promise<Result<ReadResult, ReadError>> {
  const waitMilliseconds = Math.max(0, Math.round(call.waitUntil - getNow()));
  const deadline = CallDeadline.create(waitMilliseconds + responseGraceMilliseconds, call.signal);
  try {
    const response = await request(
      `http://${call.address}${paths[call.value]}${toQuery(call, waitMilliseconds)}`,
      {
        headers: { "accept-encoding": "gzip" },
        signal: deadline.signal,
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
  } finally {
    deadline.release();
  }
}

function toQuery({ after }: ReadCall, waitMilliseconds: number): string {
  return after === undefined ? "" : `?after=${String(after)}&wait=${String(waitMilliseconds)}`;
}
