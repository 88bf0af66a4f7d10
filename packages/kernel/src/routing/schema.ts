import { z } from "zod";

/** Kind of a route's requests; it decides which requests may be sent again after a failure. */
export const requestKindSchema = z.enum(["idempotent", "nonIdempotent", "stream"]);

const targetSchema = z.object({
  service: z.string().min(1),
  /** Share of the route's requests, relative to the other targets. */
  weight: z.number().min(0),
});

/** A route: the requests of one authority below one path prefix. */
export const routeSchema = z.object({
  name: z.string().min(1),
  /** Host name in lower case, without port. */
  authority: z.string().min(1),
  /** Starts and ends with a slash. */
  prefix: z.string().regex(/^\/(.*\/)?$/, "must start and end with a slash"),
  kind: requestKindSchema,
  /** Maximum time from the arrival of a request to its complete response. */
  timeoutMilliseconds: z.number().positive(),
  /** Latency objective: time to the first byte of the response. */
  goalMilliseconds: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.int().min(0),
  targets: z.array(targetSchema).min(1),
  /** Maximum number of upstreams that one request is sent to. */
  maxAttempts: z.int().min(1),
  /** Requests of public routes need no API key. */
  isPublic: z.boolean(),
  /** Requests carry prompts, whose prefixes engines cache. */
  isSticky: z.boolean(),
  /** A stream that breaks may be resumed at another upstream. */
  isResumable: z.boolean(),
});

/** Properties of a service's engines; absent for a plain service. */
const engineTraitsSchema = z.object({
  slots: z.int().positive(),
  cacheTokens: z.number().positive(),
  /** Whether an engine supports KV cache transfer from another engine. */
  canFetch: z.boolean(),
});

/** How upstreams of a service start; absent for a service whose upstreams take their full load at once. */
const coldStartSchema = z.object({
  /** Time after its start for which an upstream is cold. */
  milliseconds: z.number().positive(),
  /** Requests a second that a cold upstream tolerates from all daemons together. */
  requestsPerSecond: z.number().positive(),
});

export const routedServiceSchema = z.object({
  name: z.string().min(1),
  /** Connections that one upstream accepts from all callers together. */
  maxConnections: z.int().positive(),
  /** Path on which its upstreams answer for their health. */
  healthPath: z.string().optional(),
  engine: engineTraitsSchema.optional(),
  coldStart: coldStartSchema.optional(),
});

const routedTeamSchema = z.object({
  name: z.string().min(1),
  keys: z.array(z.string().min(1)),
  /** Overrides the priority of the route. */
  priority: z.int().min(0).optional(),
});

const requestLimitsSchema = z.object({
  headerBytes: z.int().positive(),
  bodyBytes: z.int().positive(),
  headerTimeoutMilliseconds: z.int().positive(),
  idleTimeoutMilliseconds: z.int().positive(),
});

/** Complete routing configuration, as published. */
export const routingSchema = z.object({
  version: z.int().min(0),
  routes: z.array(routeSchema),
  services: z.array(routedServiceSchema),
  /** Absent when requests need no key. */
  teams: z.array(routedTeamSchema).optional(),
  limits: requestLimitsSchema,
});

export type RequestKind = z.infer<typeof requestKindSchema>;
export type RequestRoute = z.infer<typeof routeSchema>;
export type RoutedService = z.infer<typeof routedServiceSchema>;
export type RoutedTeam = z.infer<typeof routedTeamSchema>;
export type RequestLimits = z.infer<typeof requestLimitsSchema>;
export type Routing = z.infer<typeof routingSchema>;
