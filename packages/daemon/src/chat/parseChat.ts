import { createHash, randomUUID } from "node:crypto";
import type { CallerRequest } from "../callers/CallerRequest.js";
import { Problem } from "../errors/index.js";
import type { ChatRun } from "./ChatRun.js";
import { chatBodySchema, type ChatBody } from "./schema.js";

/** Header that tells a caller which engine served its chat, and that it may send back. */
export const placementHeader = "x-chat-placement";

const bytesPerToken = 4;
const engineChatIdCharacters = 22;
const maxChatIdCharacters = 200;
const chatIdPattern = /^[\x21-\x7e]+$/;

/**
 * Reads the body of a chat completion request.
 * @param request - Request of the caller.
 * @throws Problem when the body is malformed or names an unknown model.
 */
export function parseChatOrThrow(request: CallerRequest): ChatRun {
  const body = parseBodyOrThrow(request.body);
  if (!request.index.hasModel(body.model)) {
    throw Problem.create("unknown-model", `model "${body.model}" is not in the configuration`);
  }
  const chat = getChatIdOrThrow(request);
  return {
    request,
    body,
    chat,
    engineChat: getEngineChatId(request.team.name, chat),
    lastEngine: getLastEngine(request, body.model),
    promptTokens: Math.ceil(request.body.length / bytesPerToken),
    isFirstTurn: !body.messages.some((message) => message.role === "assistant"),
    excluded: [],
    attempts: 0,
  };
}

function parseBodyOrThrow(octets: Buffer): ChatBody {
  let document: unknown;
  try {
    document = JSON.parse(octets.toString("utf8"));
  } catch (error) {
    const detail = error instanceof Error ? error.message : "not JSON";
    throw Problem.create("malformed-body", `the body is not JSON: ${detail}`);
  }
  const checked = chatBodySchema.safeParse(document);
  if (!checked.success) {
    const issues = checked.error.issues.map(
      (issue) => `"${issue.path.join(".")}": ${issue.message}`,
    );
    throw Problem.create("invalid-request", `the body is invalid: ${issues.join("; ")}`);
  }
  return checked.data;
}

/** Gets the caller's chat id, or a new one. A chat id belongs to the team that uses it. */
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

/** Gets the engine that the caller was told of, if it still serves the model. */
function getLastEngine(request: CallerRequest, model: string): string | undefined {
  const engine = String(request.headers[placementHeader] ?? "");
  return request.index.getEngines(model).includes(engine) ? engine : undefined;
}

/**
 * Gets the id under which engines cache a chat, distinct for each team.
 * @param team - Name of the team.
 * @param chat - Id of the chat as its caller knows it.
 */
export function getEngineChatId(team: string, chat: string): string {
  const hash = createHash("sha256").update(`${team}\n${chat}`);
  return hash.digest("base64url").slice(0, engineChatIdCharacters);
}
