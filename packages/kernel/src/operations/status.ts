import { z } from "zod";
import { configurationFindingSchema } from "../configuration/findings.js";

const count = z.int().min(0);
const hostState = z.enum(["eligible", "suspect", "leaving", "down", "damped", "unknown"]);

const refusedConfigurationSchema = z.object({
  revision: count,
  digest: z.string(),
  reasons: z.array(configurationFindingSchema),
});

const configurationStatusSchema = z.object({
  generation: z.int().min(1),
  revision: count,
  /** SHA-256 of the text, in hexadecimal. */
  digest: z.string(),
  acceptedAt: z.number(),
  source: z.enum(["platform", "peer"]),
});

const platformStatusSchema = z.object({
  reachable: z.boolean(),
  /** Time of the last response; absent before the first. */
  lastReadAt: z.number().optional(),
  /** True when this daemon is one of its zone's readers. */
  isReader: z.boolean(),
  /** Number of calls since the start; a watch that waits for a change counts as one. */
  calls: count,
});

const peerStatusSchema = z.object({
  name: z.string(),
  zone: z.string(),
  state: z.enum(["live", "suspect", "lost", "leaving", "unknown"]),
  lastHeardAt: z.number().optional(),
  /** Revision of the configuration that the peer last announced. */
  revision: count.optional(),
});

const engineStatusSchema = z.object({
  name: z.string(),
  zone: z.string(),
  state: hostState,
  load: z.number(),
  /** Load up to which the engine accepts new requests; absent before the first placement. */
  limit: z.number().optional(),
  models: z.array(z.string()),
  /** Reason for the state. */
  reason: z.string(),
});

const serviceStatusSchema = z.object({
  name: z.string(),
  hosts: z.array(
    z.object({ name: z.string(), zone: z.string(), state: hostState, reason: z.string() }),
  ),
});

const teamStatusSchema = z.object({
  name: z.string(),
  running: count,
  waiting: count.optional(),
  admitted: count,
  refused: count,
});

const actTotalsSchema = z.object({ sending: count, done: count, unknown: count, refused: count });

/** Response of `GET /v1/status`: the state of one daemon and its view of the fleet. */
export const statusSchema = z.object({
  process: z.string(),
  incarnation: z.string(),
  zone: z.string(),
  version: z.string(),
  state: z.enum(["starting", "ready", "draining"]),
  startedAt: z.number().optional(),
  /** Absent until a configuration was accepted. */
  configuration: configurationStatusSchema.optional(),
  /** The newest published value that was refused; absent when there is none. */
  refused: refusedConfigurationSchema.optional(),
  platform: platformStatusSchema,
  peers: z.array(peerStatusSchema),
  engines: z.array(engineStatusSchema),
  services: z.array(serviceStatusSchema),
  teams: z.array(teamStatusSchema),
  acts: actTotalsSchema,
  /** Guards that a setting has switched off; empty in production. */
  guards: z.object({ disabled: z.array(z.string()) }),
  /** Further totals since the start, by name. */
  counters: z.record(z.string(), z.number()),
});

export type DaemonStatus = z.infer<typeof statusSchema>;
export type ConfigurationStatus = z.infer<typeof configurationStatusSchema>;
export type RefusedConfiguration = z.infer<typeof refusedConfigurationSchema>;
export type PlatformStatus = z.infer<typeof platformStatusSchema>;
export type PeerStatus = z.infer<typeof peerStatusSchema>;
export type EngineStatus = z.infer<typeof engineStatusSchema>;
export type ServiceStatus = z.infer<typeof serviceStatusSchema>;
export type TeamStatus = z.infer<typeof teamStatusSchema>;
export type ActTotals = z.infer<typeof actTotalsSchema>;
