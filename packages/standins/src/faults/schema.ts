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

/** Towards the target, or back to the client. */
export const directionSchema = z.enum(["request", "response"]);

/**
 * What happens to one connection when its rule fires.
 *
 * - `delay`: the direction waits for some time, then goes on.
 * - `hold`: the direction waits until it is released, or until other answers have passed.
 * - `swap`: waits for a second connection on which the rule fires, then each gets the other's answer.
 * - `drop`: the direction is silently discarded from here; the connection stays open.
 * - `cut`: both directions are silently discarded from here; the connection stays open.
 * - `reset`: both sides are reset.
 */
export const actionSchema = z.enum(["delay", "hold", "swap", "drop", "cut", "reset"]);

/** Fires at a byte of a connection, counted from the first occurrence of a text in the request. */
export const ruleSchema = z.strictObject({
  /** Text that the client must have sent; empty counts from the start of the connection. */
  text: z.string().default(""),
  direction: directionSchema,
  /** Bytes of the direction that still pass. */
  bytes: z.int().min(0).default(0),
  action: actionSchema,
  /** Time that a `delay` takes. */
  delayMilliseconds: z.number().min(0).default(0),
  /** Answers on other connections that end a `hold`; 0 waits for the control call. */
  releaseAfterAnswers: z.int().min(0).default(0),
  /** Connections on which the rule fires. */
  times: z.int().min(1).default(1),
});

/** Fires at the n-th datagram of a link. */
export const datagramRuleSchema = z.strictObject({
  direction: directionSchema.default("request"),
  /** Number of the datagram, from 1, counted since the rules were set. */
  message: z.int().min(1),
  /** Consecutive datagrams that the rule applies to. */
  count: z.int().min(1).default(1),
  /** `hold` sends the datagram after the next one. */
  action: z.enum(["drop", "duplicate", "hold", "delay"]),
  delayMilliseconds: z.number().min(0).default(0),
});

/**
 * What a whole link does, to connections that stand and to new ones.
 *
 * - `open`: passes everything.
 * - `cut`: discards both directions; connections are accepted and never answered.
 * - `cut-request`, `cut-response`: discards one direction.
 * - `refuse`: resets every connection.
 */
export const linkModeSchema = z.enum(["open", "cut", "cut-request", "cut-response", "refuse"]);

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
