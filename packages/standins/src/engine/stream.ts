import type { ServerResponse } from "node:http";
import type { Generation } from "./Generation.js";

/**
 * Writes a generation as server-sent events, with backpressure.
 *
 * The stream ends with `[DONE]` only when the complete answer was written. When the generation is
 * cancelled, the connection is destroyed.
 * @param generation - Generation to write.
 * @param offset - Number of tokens that the reader already has.
 * @param response - Response to write to; its headers are written.
 * @param signal - Ends the stream when the reader disconnects.
 */
export async function writeStream(
  generation: Generation,
  offset: number,
  response: ServerResponse,
  signal: AbortSignal,
): Promise<void> {
  let sent = offset;
  while (sent < generation.totalTokens) {
    await generation.waitForToken(sent, signal);
    if (signal.aborted || generation.emittedTokens <= sent) {
      response.destroy();
      return;
    }
    sent += 1;
    await writeWithBackpressure(response, toTokenEvent(generation, sent), signal);
  }
  response.end(toFinalEvents(generation));
}

/**
 * Gets the response body of a chat completion that is not streamed.
 * @param generation - Finished generation.
 */
export function toCompletionBody(generation: Generation): object {
  const content = generation.getText(0, generation.totalTokens);
  return {
    id: generation.attempt,
    object: "chat.completion",
    model: generation.model,
    choices: [{ index: 0, message: { role: "assistant", content }, finish_reason: "stop" }],
    usage: generation.getUsage(),
  };
}

async function writeWithBackpressure(
  response: ServerResponse,
  text: string,
  signal: AbortSignal,
): Promise<void> {
  if (response.write(text) || signal.aborted) {
    return;
  }
  await new Promise<void>((resolve) => {
    const resume = () => {
      response.off("drain", resume);
      signal.removeEventListener("abort", resume);
      resolve();
    };
    response.on("drain", resume);
    signal.addEventListener("abort", resume);
  });
}

function toTokenEvent(generation: Generation, sent: number): string {
  const delta = { content: generation.getText(sent - 1, sent) };
  const choices = [{ index: 0, delta, finish_reason: null }];
  return toEvent(sent, { ...toChunk(generation), choices });
}

function toFinalEvents(generation: Generation): string {
  const choices = [{ index: 0, delta: {}, finish_reason: "stop" }];
  const last = { ...toChunk(generation), choices, usage: generation.getUsage() };
  return `${toEvent(generation.totalTokens, last)}data: [DONE]\n\n`;
}

function toChunk(generation: Generation): object {
  return {
    id: generation.attempt,
    object: "chat.completion.chunk",
    model: generation.model,
  };
}

function toEvent(id: number, data: object): string {
  return `id: ${String(id)}\ndata: ${JSON.stringify(data)}\n\n`;
}
