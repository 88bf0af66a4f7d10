import { z } from "zod";

/** An order, as it is sent to an engine. */
export const engineOrderSchema = z.strictObject({
  kind: z.enum(["load", "adapter", "version", "role"]),
  model: z.string().optional(),
  adapter: z.string().optional(),
  version: z.string().optional(),
  role: z.string().optional(),
  fencing: z.int().min(0),
});

const observedModelSchema = z.object({
  name: z.string(),
  version: z.string(),
  adapters: z.array(z.string()),
  state: z.enum(["loading", "ready"]),
});

/** State that an engine reports: fencing token, role and models. */
export const observedEngineStateSchema = z.object({
  fencing: z.int().min(0),
  role: z.string(),
  models: z.array(observedModelSchema),
});

export type EngineOrder = z.infer<typeof engineOrderSchema>;
export type ObservedModel = z.infer<typeof observedModelSchema>;
export type ObservedEngineState = z.infer<typeof observedEngineStateSchema>;
