import { z } from "zod";

/** Options of the engine stand-in. */
export const engineOptionsSchema = z.strictObject({
  name: z.string().default("engine"),
  port: z.int().min(0).max(65_535).default(0),
  /** Requests that run at once. */
  slots: z.int().min(1).default(32),
  /** Requests that may wait for a slot; the engine refuses further ones as full. */
  maxWaiting: z.int().min(0).default(256),
  /** Capacity of the prefix cache in tokens, over all chats. */
  cacheTokens: z.int().min(0).default(200_000),
  /** Duration of a batch step: each running request gets one token, or a part of its prefill. */
  tokenMilliseconds: z.number().min(0).default(1),
  /** Uncached prompt tokens that a request computes in one step. */
  prefillTokensPerStep: z.int().min(1).default(512),
  /** Delay before the first byte of each chat response. */
  latencyMilliseconds: z.number().min(0).default(0),
  /** Time for which a stream without a reader can be resumed. */
  resumeMilliseconds: z.number().min(0).default(2000),
  /** Interval at which the reported load is sampled. */
  loadLagMilliseconds: z.number().min(0).default(200),
  /** Age at which cache events are reported. */
  cacheEventLagMilliseconds: z.number().min(0).default(500),
  /** Every n-th cache event is lost; 0 loses none. */
  lostCacheEventEvery: z.int().min(0).default(10),
  /** Whether an order with an outdated fencing token is refused. */
  checksFencing: z.boolean().default(false),
  /** Time to load a model. */
  modelLoadMilliseconds: z.number().min(0).default(50),
  /** Models that are ready at the start, separated by commas. */
  models: z.string().default("small"),
});

const messageSchema = z.object({ role: z.string(), content: z.string() });

/** The fields of a chat completion request that the stand-in reads. */
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

/** The cached prefix of a chat, as `/v1/kv/:chat` exports and imports it. */
export const prefixSchema = z.strictObject({ words: z.array(z.string()) });

/** Faults that the control call sets; omitted ones stay as they are. */
export const engineFaultsSchema = z.strictObject({
  /** Refuses new requests and reports itself as leaving. */
  leaving: z.boolean().optional(),
  /** Refuses new requests as if every slot and the queue were taken. */
  full: z.boolean().optional(),
  /** Suspends all computation until it is false again. */
  frozen: z.boolean().optional(),
  /** Load reports are sampled as usual, keep the last sample, or are missing. */
  loadReports: z.enum(["fresh", "stuck", "missing"]).optional(),
  /** Toggles `leaving` after every n-th chat request; 0 disables it. */
  flapEveryRequests: z.int().min(0).optional(),
  /** Closes the listener and every connection on a chat with this text in a message; empty for none. */
  crashText: z.string().optional(),
  /** Status of the answers to chat requests that run; one other than 200 comes without the answer. */
  statusAfterRun: z.int().min(200).max(599).optional(),
});

export type EngineOptions = z.input<typeof engineOptionsSchema>;
export type EngineSettings = z.output<typeof engineOptionsSchema>;
export type Completion = z.infer<typeof completionSchema>;
export type Order = z.infer<typeof orderSchema>;
export type EngineFaults = z.infer<typeof engineFaultsSchema>;
