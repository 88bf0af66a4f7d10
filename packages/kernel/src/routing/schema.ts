import { z } from "zod";

/** What a route's requests are, which decides what may be repeated. */
export const requestKindSchema = z.enum(["idempotent", "nonIdempotent", "stream"]);

const targetSchema = z.object({
  service: z.string().min(1),
  /** Share of the route's requests, relative to the other targets. */
  weight: z.number().min(0),
});

/** Requests of one authority below one path prefix. */
export const routeSchema = z.object({
  name: z.string().min(1),
  /** Host name in lower case, without port. */
  authority: z.string().min(1),
  /** Starts and ends with a slash. */
  prefix: z.string().regex(/^\/(.*\/)?$/, "must start and end with a slash"),
  kind: requestKindSchema,
  /** Longest time that a request of the route is kept without its whole answer. */
  timeoutMilliseconds: z.number().positive(),
  /** Time to the first byte within which an answer is worth most. */
  goalMilliseconds: z.number().positive(),
  /** 0 is the most urgent. */
  priority: z.int().min(0),
  targets: z.array(targetSchema).min(1),
  /** Upstreams that one request may be sent to. */
  maxAttempts: z.int().min(1),
  /** Public routes need no key. */
  isPublic: z.boolean(),
  /** Requests carry prompts, whose prefixes engines cache. */
  isSticky: z.boolean(),
  /** A broken stream may go on at another upstream. */
  isResumable: z.boolean(),
});

/** How an engine's cache and links behave; absent for a plain service. */
const engineTraitsSchema = z.object({
  slots: z.int().positive(),
  cacheTokens: z.number().positive(),
  /** Whether an engine can fetch a cached prefix from another one. */
  canFetch: z.boolean(),
});

export const routedServiceSchema = z.object({
  name: z.string().min(1),
  /** Connections that one upstream accepts from all callers together. */
  maxConnections: z.int().positive(),
  engine: engineTraitsSchema.optional(),
});

const routedTeamSchema = z.object({
  name: z.string().min(1),
  keys: z.array(z.string().min(1)),
  /** Goes before the priority of the route. */
  priority: z.int().min(0).optional(),
});

const requestLimitsSchema = z.object({
  headerBytes: z.int().positive(),
  bodyBytes: z.int().positive(),
  headerTimeoutMilliseconds: z.int().positive(),
  idleTimeoutMilliseconds: z.int().positive(),
});

/** One whole routing configuration, as published. */
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
