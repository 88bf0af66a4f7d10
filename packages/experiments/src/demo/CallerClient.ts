import { Agent, request, type Dispatcher } from "undici";
import { z } from "zod";
import { getToken, readCompleteContent, type ChatCall } from "../fleet/index.js";

/** A request for one turn of a chat. */
export interface ChatTurn extends ChatCall {
  readonly team: string;
  readonly model: string;
  /** Messages of the previous turns. */
  readonly history: readonly ChatMessage[];
}

export interface ChatMessage {
  readonly role: "user" | "assistant";
  readonly content: string;
}

/** A call of a plain service under an act key. */
export interface ActCall {
  readonly key: string;
  readonly team: string;
  readonly path: string;
  readonly body: string;
}

/** How one request ended for its caller. */
export type CallerAnswer =
  /** The answer is marked as complete. */
  | { readonly kind: "whole"; readonly content: string; readonly outcome: string }
  /** The daemon answered with a typed failure. */
  | { readonly kind: "problem"; readonly name: string; readonly outcome: string }
  /** The daemon refused the connection, so the balancer may send the request to another daemon. */
  | { readonly kind: "unconnected" }
  /** The connection broke, or the answer ended without its terminal event or a typed failure. */
  | { readonly kind: "cut"; readonly detail: string };

const timeoutMilliseconds = 15_000;
const httpOk = 200;
const httpCreated = 201;

const problemSchema = z.object({ type: z.string(), outcome: z.string() });
const actKeySchema = z.object({ key: z.string() });

/** Response header that a caller sends back with the next turn of its chat. */
interface PlacementHint {
  readonly "x-chat-placement": string;
}

/** HTTP client that sends requests to daemons as a caller does. */
export class CallerClient {
  private readonly agent = new Agent({ connections: null, pipelining: 1 });

  /** Last placement hint that a daemon returned, by chat. */
  private readonly placements = new Map<string, PlacementHint>();

  private constructor() {
    // Created through the static method.
  }

  /** Creates a client. */
  static create(): CallerClient {
    return new CallerClient();
  }

  /**
   * Sends a turn of a chat.
   * @param address - Callers' listener of a daemon.
   * @param turn - Turn to send.
   */
  sendTurn(address: string, turn: ChatTurn): Promise<CallerAnswer> {
    const { model, history, message, tokens, isStream } = turn;
    const messages = [...history, { role: "user", content: message }];
    const body = JSON.stringify({ model, messages, max_tokens: tokens, stream: isStream });
    const headers = {
      "x-chat-id": turn.chat,
      "content-type": "application/json",
      ...this.placements.get(turn.chat),
    };
    return this.send(address, "/v1/chat/completions", turn.team, body, headers, (text) =>
      readChat(turn, text),
    );
  }

  /**
   * Requests an act key; the content of the answer is the key.
   * @param address - Callers' listener of a daemon.
   * @param team - Team of the caller.
   */
  requestActKey(address: string, team: string): Promise<CallerAnswer> {
    return this.send(address, "/v1/acts", team, "", {}, (text) => {
      const issued = parse(actKeySchema, text);
      return issued === undefined ? cut("no key") : whole(issued.key);
    });
  }

  /**
   * Submits an act.
   * @param address - Callers' listener of a daemon.
   * @param call - Act and its key.
   */
  submitAct(address: string, call: ActCall): Promise<CallerAnswer> {
    const headers = { "idempotency-key": call.key, "content-type": "application/json" };
    return this.send(address, call.path, call.team, call.body, headers, whole);
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async send(
    address: string,
    path: string,
    team: string,
    body: string,
    headers: Readonly<Record<string, string>>,
    read: (text: string) => CallerAnswer,
  ): Promise<CallerAnswer> {
    try {
      const answer = await request(`http://${address}${path}`, {
        method: "POST",
        dispatcher: this.agent,
        headers: { ...headers, authorization: `Bearer ${getToken(team)}` },
        body,
        signal: AbortSignal.timeout(timeoutMilliseconds),
      });
      this.keepPlacement(headers["x-chat-id"], answer);
      return await readAnswer(answer, read);
    } catch (error) {
      return toFailure(error);
    }
  }

  private keepPlacement(chat: string | undefined, answer: Dispatcher.ResponseData): void {
    const engine = answer.headers["x-chat-placement"];
    if (chat !== undefined && typeof engine === "string") {
      this.placements.set(chat, { "x-chat-placement": engine });
    }
  }
}

async function readAnswer(
  answer: Dispatcher.ResponseData,
  read: (text: string) => CallerAnswer,
): Promise<CallerAnswer> {
  const text = await answer.body.text();
  if (answer.statusCode !== httpOk && answer.statusCode !== httpCreated) {
    return readProblem(text);
  }
  const result = read(text);
  const outcome = String(answer.headers["x-outcome"] ?? "");
  return result.kind === "whole" && outcome !== "" ? { ...result, outcome } : result;
}

function readProblem(text: string): CallerAnswer {
  const problem = parse(problemSchema, text);
  return problem === undefined
    ? cut("an untyped failure")
    : { kind: "problem", name: problem.type, outcome: problem.outcome };
}

/** Reads a chat answer; a stream is complete only with its terminal event. */
function readChat(turn: ChatTurn, text: string): CallerAnswer {
  const content = readCompleteContent(turn, text);
  if (content !== undefined) {
    return whole(content);
  }
  const failure = /event: error\ndata: (.*)\n/.exec(text)?.[1];
  return failure === undefined ? cut("an answer without an end") : readProblem(failure);
}

function toFailure(error: unknown): CallerAnswer {
  const code = error instanceof Error && "code" in error ? String(error.code) : "";
  const detail = error instanceof Error ? `${error.name} ${code} ${error.message}` : String(error);
  return code === "ECONNREFUSED" ? { kind: "unconnected" } : cut(detail);
}

function whole(content: string): CallerAnswer {
  return { kind: "whole", content, outcome: "complete" };
}

function cut(detail: string): CallerAnswer {
  return { kind: "cut", detail };
}

function parse<Schema extends z.ZodType>(
  schema: Schema,
  text: string,
): z.infer<Schema> | undefined {
  try {
    return schema.safeParse(JSON.parse(text)).data;
  } catch {
    return undefined;
  }
}
