import { z } from "zod";

const maxMessages = 10_000;

const messageSchema = z.looseObject({
  role: z.string().min(1),
  content: z.union([z.string(), z.array(z.unknown()), z.null()]).optional(),
});

/** The parts of a chat completion request that the router reads; the rest passes through. */
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

/** The part of an answer, or of a stream's last event, that counts tokens. */
export const usageHolderSchema = z.looseObject({ usage: usageSchema });
