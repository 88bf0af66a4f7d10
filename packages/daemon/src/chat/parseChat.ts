import { createHash, randomUUID } from "node:crypto";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";
import type { ChatRequest } from "./ChatRequest.js";
import { chatBodySchema, type ChatBody } from "./schema.js";

/** Header that names the engine that served a chat; callers may send it back with the next turn. */
export const placementHeader = "x-chat-placement";

const bytesPerToken = 4;
const engineChatIdCharacters = 22;
const maxChatIdCharacters = 200;
const chatIdPattern = /^[\x21-\x7e]+$/;

/**
 * Parses a chat completion request.
 * @param request - Request of the caller.
 * @throws Problem when the body or the chat id is invalid, or the model is unknown.
 */
export function parseChatOrThrow(request: CallerRequest): ChatRequest {
  const body = parseBodyOrThrow(request.body);
  if (!request.configuration.hasModel(body.model)) {
    throw Problem.create("unknown-model", `model "${body.model}" is not in the configuration`);
  }
  const chatId = getChatIdOrThrow(request);
  return {
    request,
    body,
    chatId,
    engineChatId: getEngineChatId(request.team.name, chatId),
    lastEngine: getLastEngine(request, body.model),
    promptTokens: Math.ceil(request.body.length / bytesPerToken),
    isFirstTurn: !body.messages.some((message) => message.role === "assistant"),
    excludedEngines: [],
    attemptCount: 0,
    hasUnknownAttempt: false,
  };
}

function parseBodyOrThrow(bytes: Buffer): ChatBody {
  let document: unknown;
  try {
    document = JSON.parse(bytes.toString("utf8"));
  } catch (error) {
    const detail = error instanceof Error ? error.message : "not JSON";
    throw Problem.create("malformed-body", `the body is not JSON: ${detail}`);
  }
  const result = chatBodySchema.safeParse(document);
  if (!result.success) {
    const issues = result.error.issues.map(
      (issue) => `"${issue.path.join(".")}": ${issue.message}`,
    );
    throw Problem.create("invalid-request", `the body is invalid: ${issues.join("; ")}`);
  }
  return result.data;
}

/** Gets the caller's chat id, or a new one. Two teams may use the same id for different chats. */
function getChatIdOrThrow(request: CallerRequest): string {
  const header = request.headers["x-chat-id"];
  if (header === undefined) {
    return randomUUID();
  }
  const id = String(header);
  if (id.length > maxChatIdCharacters || !chatIdPattern.test(id)) {
    const allowed = `must be 1 to ${String(maxChatIdCharacters)} printable characters`;
    throw Problem.create("invalid-request", `header "x-chat-id" ${allowed}`);
  }
  return id;
}

/** Gets the engine that the placement header names, if it still serves the model. */
function getLastEngine(request: CallerRequest, model: string): string | undefined {
  const engine = String(request.headers[placementHeader] ?? "");
  return request.configuration.getEngines(model).includes(engine) ? engine : undefined;
}

/**
 * Gets the id under which engines cache a chat, distinct for each team.
 * @param team - Name of the team.
 * @param chatId - Id of the chat that the caller uses.
 */
export function getEngineChatId(team: string, chatId: string): string {
  const hash = createHash("sha256").update(`${team}\n${chatId}`);
  return hash.digest("base64url").slice(0, engineChatIdCharacters);
}
