import { z } from "zod";

/** Options of the engine stand-in. */
export const engineOptionsSchema = z.strictObject({
  name: z.string().default("engine"),
  port: z.int().min(0).max(65_535).default(0),
  /** Requests that run at once. */
  slots: z.int().min(1).default(32),
  /** Requests that wait for a slot before the engine says that it is full. */
  maxWaiting: z.int().min(0).default(256),
  /** Prompt tokens of all chats that the prefix cache holds. */
  cacheTokens: z.int().min(0).default(200_000),
  /** Time of one step of the batch: each running request gets one token. */
  tokenMilliseconds: z.number().min(0).default(1),
  /** Prompt tokens not in the cache that a request computes in one step. */
  prefillTokensPerStep: z.int().min(1).default(512),
  /** Added before the first byte of each chat answer. */
  latencyMilliseconds: z.number().min(0).default(0),
  /** How long a stream without a reader can be resumed. */
  resumeMilliseconds: z.number().min(0).default(2000),
  /** Age that load figures reach before they are taken again. */
  loadLagMilliseconds: z.number().min(0).default(200),
  /** Age from which cache events are reported. */
  cacheEventLagMilliseconds: z.number().min(0).default(500),
  /** Every n-th cache event is lost; 0 loses none. */
  lostCacheEventEvery: z.int().min(0).default(10),
  /** Whether an order with an old fencing number is refused. */
  checksFencing: z.boolean().default(false),
  /** Time that a model takes to load. */
  modelLoadMilliseconds: z.number().min(0).default(50),
  /** Models ready at the start, with commas between them. */
  models: z.string().default("small"),
});

const messageSchema = z.object({ role: z.string(), content: z.string() });

/** The part of a chat completion that the stand-in reads. */
export const completionSchema = z.object({
  model: z.string(),
  messages: z.array(messageSchema).min(1),
  stream: z.boolean().default(false),
  max_tokens: z.int().min(1).max(100_000).optional(),
});

export const orderSchema = z.strictObject({
  kind: z.enum(["load", "adapter", "version", "role"]),
  model: z.string().optional(),
  adapter: z.string().optional(),
  version: z.string().optional(),
  role: z.string().optional(),
  fencing: z.int().min(0),
});

export const offsetQuerySchema = z.object({ offset: z.coerce.number().int().min(0).default(0) });
export const afterQuerySchema = z.object({ after: z.coerce.number().int().min(0).default(0) });

/** The cached prefix of a chat as it is exported and imported. */
export const prefixSchema = z.strictObject({ words: z.array(z.string()) });

/** Faults that the control call sets; those left out stay as they are. */
export const engineFaultsSchema = z.strictObject({
  /** Refuses new requests and reports itself as leaving. */
  leaving: z.boolean().optional(),
  /** Refuses new requests as if every place were taken. */
  full: z.boolean().optional(),
  /** Computes no token until it is false again. */
  frozen: z.boolean().optional(),
  /** Load reports as usual, no newer than now, or missing. */
  loadReports: z.enum(["fresh", "stuck", "missing"]).optional(),
  /** Toggles `leaving` after every n-th chat request; 0 does not. */
  flapEveryRequests: z.int().min(0).optional(),
});

export type EngineOptions = z.input<typeof engineOptionsSchema>;
export type EngineSettings = z.output<typeof engineOptionsSchema>;
export type Completion = z.infer<typeof completionSchema>;
export type Order = z.infer<typeof orderSchema>;
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
