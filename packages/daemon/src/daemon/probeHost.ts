import {
  collectText,
  type Instant,
  type Observation,
  type ProbeEffect,
} from "@pistachioway/kernel";
import { request } from "undici";
import { z } from "zod";

/** The result of a probe of an upstream host. */
export interface ProbeResult {
  readonly host: string;
  readonly observation: Observation;
  /** Time at which the probe was sent, or the time stated in the host's load report. */
  readonly at: Instant;
}

const probeTimeoutMilliseconds = 1_000;
const okStatus = 200;
const unavailableStatus = 503;
const probePaths = { engine: "/v1/load", service: "/health" } as const;
const loadSchema = z.looseObject({ at: z.number(), state: z.enum(["live", "leaving"]) });

/**
 * Requests the state of an upstream host.
 * @param probe - Host to probe.
 * @param getNow - Reads the clock.
 */
export async function probeHost(probe: ProbeEffect, getNow: () => Instant): Promise<ProbeResult> {
  const { host, role, address } = probe;
  const at = getNow();
  try {
    const response = await request(`http://${address}${probePaths[role]}`, {
      signal: AbortSignal.timeout(probeTimeoutMilliseconds),
    });
    const text = await collectText(response.body);
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

/** Reads a load report. Its own time is used, since engines publish reports with a delay. */
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
