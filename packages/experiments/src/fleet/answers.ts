import { getEngineChatId } from "@pistachioway/daemon";
import { getExpectedAnswer } from "@pistachioway/standins";
import { z } from "zod";
import type { ChatCall } from "./Caller.js";

const streamTerminator = "data: [DONE]";
const completionSchema = z.object({
  choices: z.tuple([z.object({ message: z.object({ content: z.string() }) })]),
});
const chunkSchema = z.object({
  choices: z.tuple([z.object({ delta: z.object({ content: z.string().default("") }) })]),
});

/**
 * Gets the content of the correct and complete answer to a chat request.
 * @param team - Team of the caller.
 * @param call - Chat request.
 */
export function getExpectedChatAnswer(team: string, call: ChatCall): string {
  const { chat, message, tokens } = call;
  return getExpectedAnswer({ chat: getEngineChatId(team, chat), message, tokens });
}

/**
 * Reads the content of a complete answer; undefined when the body is cut off or not an answer.
 * @param call - Chat request.
 * @param text - Response body.
 */
export function readCompleteContent(call: ChatCall, text: string): string | undefined {
  if (!call.isStream) {
    return completionSchema.safeParse(parseJson(text)).data?.choices[0].message.content;
  }
  const lines = text.split("\n").filter((line) => line !== "");
  return lines.at(-1) === streamTerminator ? lines.map(readChunk).join("") : undefined;
}

function readChunk(line: string): string {
  const [, json = ""] = /^data: (\{.*\})$/.exec(line) ?? [];
  return chunkSchema.safeParse(parseJson(json)).data?.choices[0].delta.content ?? "";
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
