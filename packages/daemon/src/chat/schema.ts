import { z } from "zod";

const maxMessages = 10_000;

const messageSchema = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});

/**
 * The fields of a chat completion request that the router reads; others are forwarded unchanged.
 */
export const chatBodySchema = z.looseObject({
  model: z.string().min(1),
  messages: z.array(messageSchema).min(1).max(maxMessages),
  stream: z.boolean().default(false),
});

export type ChatBody = z.infer<typeof chatBodySchema>;

const usageSchema = z.looseObject({
  prompt_tokens: z.number(),
  cached_tokens: z.number().default(0),
});

/** A response, or the last event of a stream, with its token counts. */
export const usageHolderSchema = z.looseObject({ usage: usageSchema });
