import { z } from "zod";
import { answerFaults, type AnswerFaultName } from "./answerFaults.js";
import { sites, type SiteName } from "./sites.js";

/** Faults of processes: engines or routers are stopped, killed or paused. */
export const processFaultNames = ["queue", "restart", "paused", "crash"] as const;
export type ProcessFaultName = (typeof processFaultNames)[number];

export const answerFaultNames = Object.keys(answerFaults) as AnswerFaultName[];
/** `mixture` draws each faulty answer from all faults of answers, or from those that have weights. */
export const faultNames = ["none", ...answerFaultNames, "mixture", ...processFaultNames] as const;
export type FaultName = (typeof faultNames)[number];

/** Schema of the weights of a mixture, in the form `NAME:WEIGHT,NAME:WEIGHT`. */
const weightsSchema = z
  .string()
  .transform(
    (text) => Object.fromEntries(text.split(",").map((pair) => pair.split(":"))) as unknown,
  )
  .pipe(z.partialRecord(z.enum(answerFaultNames), z.coerce.number().positive()));

const routerSchema = z
  .string()
  .transform((text) => text.split(","))
  .pipe(z.tuple([z.string().min(1)], z.string().min(1)));

const optionsSchema = z.strictObject({
  site: z.enum(Object.keys(sites) as SiteName[]),
  /** Time for which callers send requests. */
  seconds: z.coerce.number().min(1).max(3_600).default(60),
  fault: z.enum([...faultNames, "all"]).default("all"),
  seed: z.coerce.number().int().default(1),
  /** Bundles of the router, separated by commas; the routers run them in turn. */
  router: routerSchema.default(["target/pistachiowayd.mjs"]),
  /** Factor by which the site's rates are multiplied. */
  scale: z.coerce.number().min(0.01).max(10).default(0.5),
  /** Share of the engines' answers that are faulty. */
  share: z.coerce.number().min(0).max(1).default(0.05),
  engines: z.coerce.number().int().min(1).max(20).default(4),
  /** Ids under which each engine is listed, so that a request may come to it that often. */
  entries: z.coerce.number().int().min(1).max(4).default(1),
  /** Number of routers that reach no engine, so that their requests go through a peer. */
  unreached: z.coerce.number().int().min(0).default(0),
  /** Weights of the faults of a mixture; by default all faults of answers have the same one. */
  weights: weightsSchema.optional(),
  json: z.boolean().default(false),
});

/** Schema of the options of the experiment. */
export const outcomeOptionsSchema = optionsSchema
  .refine(({ fault, weights }) => weights === undefined || fault === "mixture", {
    path: ["weights"],
    message: 'weights need the fault "mixture"',
  })
  .refine(({ site, unreached }) => unreached < sites[site].routers, {
    path: ["unreached"],
    message: "at least one router must reach the engines",
  });

export type OutcomeOptions = z.infer<typeof outcomeOptionsSchema>;

/** Schema of the argument of an engine's process. */
export const engineArgumentsSchema = z.strictObject({
  ids: z.tuple([z.string()], z.string()),
  port: z.int().min(0),
  seed: z.int(),
  weights: z.partialRecord(z.enum(answerFaultNames), z.number()),
  share: z.number(),
  workByRoute: z.record(
    z.string(),
    z.strictObject({ milliseconds: z.number(), isStream: z.boolean() }),
  ),
});

export type EngineArguments = z.infer<typeof engineArgumentsSchema>;
