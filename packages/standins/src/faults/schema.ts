import { z } from "zod";

/** Options of the fault proxy. */
export const faultProxyOptionsSchema = z.strictObject({
  name: z.string().default("faults"),
  /** Port of the control listener; each link gets a free port. */
  port: z.int().min(0).max(65_535).default(0),
});

export const linkSchema = z.strictObject({
  name: z.string().min(1),
  target: z.string().regex(/^127\.0\.0\.1:\d{1,5}$/, "must be a loopback address and a port"),
  kind: z.enum(["tcp", "udp"]).default("tcp"),
});

/** `request` is towards the target, `response` back to the client. */
export const directionSchema = z.enum(["request", "response"]);

/**
 * Action on a connection when its rule fires.
 *
 * - `delay`: blocks the direction for `delayMilliseconds`.
 * - `hold`: blocks the direction until it is released, or other connections had their responses.
 * - `swap`: waits until the rule fires on a second connection, then swaps the two responses.
 * - `drop`: discards further bytes of the direction; the connection stays open.
 * - `cut`: discards further bytes of both directions; the connection stays open.
 * - `reset`: resets the connections to the client and to the target.
 */
export const actionSchema = z.enum(["delay", "hold", "swap", "drop", "cut", "reset"]);

/** Fires at a byte of a connection, counted from the first occurrence of a text in a request. */
export const ruleSchema = z.strictObject({
  /** Text in the client's bytes; when empty, bytes count from the start of the connection. */
  text: z.string().default(""),
  direction: directionSchema,
  /** Bytes of the direction that are forwarded before the rule fires. */
  bytes: z.int().min(0).default(0),
  action: actionSchema,
  /** Duration of a `delay`. */
  delayMilliseconds: z.number().min(0).default(0),
  /** Responses on other connections that end a `hold`; 0 waits for the control call `release`. */
  releaseAfterAnswers: z.int().min(0).default(0),
  /** How often the rule fires, over all connections. */
  times: z.int().min(1).default(1),
});

/** Fires at the n-th datagram of a link. */
export const datagramRuleSchema = z.strictObject({
  direction: directionSchema.default("request"),
  /** Number of the first datagram, counted from 1 since the rules were set. */
  message: z.int().min(1),
  /** Consecutive datagrams that the rule applies to. */
  count: z.int().min(1).default(1),
  /** `hold` keeps the datagram back until a later one of its direction passes without a rule. */
  action: z.enum(["drop", "duplicate", "hold", "delay"]),
  delayMilliseconds: z.number().min(0).default(0),
});

/**
 * Mode of a link, for open and new connections.
 *
 * - `open`: forwards everything, with the faults of the rules.
 * - `cut`: discards both directions; connections are still accepted.
 * - `cut-request`, `cut-response`: discards one direction.
 * - `refuse`: resets every connection.
 * - `closed`: refuses new connections, as a host without a listener does, and resets the open ones.
 * - `closed-to-new`: refuses new connections; the open ones go on.
 */
export const linkModeSchema = z.enum([
  "open",
  "cut",
  "cut-request",
  "cut-response",
  "refuse",
  "closed",
  "closed-to-new",
]);

export const modeBodySchema = z.strictObject({ mode: linkModeSchema });
export const rulesSchema = z.array(ruleSchema);
export const datagramRulesSchema = z.array(datagramRuleSchema);
export const firedQuerySchema = z.object({
  atLeast: z.coerce.number().int().min(0).default(0),
  wait: z.coerce.number().int().min(0).max(120_000).default(0),
});

export type FaultProxyOptions = z.input<typeof faultProxyOptionsSchema>;
export type FaultProxySettings = z.output<typeof faultProxyOptionsSchema>;
export type LinkOptions = z.input<typeof linkSchema>;
export type Direction = z.infer<typeof directionSchema>;
export type Rule = z.infer<typeof ruleSchema>;
export type RuleOptions = z.input<typeof ruleSchema>;
export type DatagramRule = z.infer<typeof datagramRuleSchema>;
export type DatagramRuleOptions = z.input<typeof datagramRuleSchema>;
export type LinkMode = z.infer<typeof linkModeSchema>;
