import type { Instant, Observation, ProbeEffect } from "@pistachioway/kernel";
import { request } from "undici";
import { z } from "zod";

/** What a probe showed of an upstream host. */
export interface ProbeResult {
  readonly host: string;
  readonly observation: Observation;
  /** When the probe was sent, or the time of the report. */
  readonly at: Instant;
}

const probeTimeoutMilliseconds = 1_000;
const okStatus = 200;
const unavailableStatus = 503;
const probePaths = { engine: "/v1/load", service: "/health" } as const;
const loadSchema = z.looseObject({ at: z.number(), state: z.enum(["live", "leaving"]) });

/**
 * Asks an upstream host for its state.
 * @param probe - Host to ask.
 * @param getNow - Reads the clock.
 */
export async function probeHost(probe: ProbeEffect, getNow: () => Instant): Promise<ProbeResult> {
  const { host, role, address } = probe;
  const at = getNow();
  try {
    const response = await request(`http://${address}${probePaths[role]}`, {
      signal: AbortSignal.timeout(probeTimeoutMilliseconds),
    });
    const text = await response.body.text();
    if (role === "engine" && response.statusCode === okStatus) {
      return { host, ...(readLoad(text) ?? { observation: "answered", at }) };
    }
    return {
      host,
      observation: response.statusCode === unavailableStatus ? "leaving" : "healthy",
      at,
    };
  } catch {
    return { host, observation: "connectFailed", at };
  }
}

/** Reads a report; it has the age that it states, since engines publish it with a lag. */
function readLoad(text: string): Pick<ProbeResult, "observation" | "at"> | undefined {
  const report = loadSchema.safeParse(parseJson(text));
  return report.success
    ? { observation: report.data.state === "leaving" ? "leaving" : "healthy", at: report.data.at }
    : undefined;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
