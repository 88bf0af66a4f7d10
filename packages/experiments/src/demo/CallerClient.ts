import { Agent, request, type Dispatcher } from "undici";
import { z } from "zod";
import { getToken, readCompleteContent, type ChatCall } from "../fleet/index.js";

/** One turn of a chat as its caller sends it. */
export interface ChatTurn extends ChatCall {
  readonly team: string;
  readonly model: string;
  /** Messages of the turns before. */
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
  /** The answer claims to be whole. */
  | { readonly kind: "whole"; readonly content: string; readonly outcome: string }
  /** A typed failure. */
  | { readonly kind: "problem"; readonly name: string; readonly outcome: string }
  /** No connection was made, so that the balancer sends the request elsewhere. */
  | { readonly kind: "unconnected" }
  /** The connection broke, or the answer ended without a sign of its end. */
  | { readonly kind: "cut"; readonly detail: string };

const timeoutMilliseconds = 15_000;
const httpOk = 200;
const httpCreated = 201;

const problemSchema = z.object({ type: z.string(), outcome: z.string() });
const actKeySchema = z.object({ key: z.string() });

/** Header that a caller sends back with the next turn of its chat. */
interface PlacementHint {
  readonly "x-chat-placement": string;
}

/** Sends requests to daemons as callers do. */
export class CallerClient {
  private readonly agent = new Agent({ connections: null, pipelining: 1 });

  /** Placement hints by chat, as the daemons gave them. */
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
   * Mints an act key; the content of the answer is the key.
   * @param address - Callers' listener of a daemon.
   * @param team - Team of the caller.
   */
  requestActKey(address: string, team: string): Promise<CallerAnswer> {
    return this.send(address, "/v1/acts", team, "", {}, (text) => {
      const minted = parse(actKeySchema, text);
      return minted === undefined ? cut("no key") : whole(minted.key);
    });
  }

  /**
   * Submits an act.
   * @param address - Callers' listener of a daemon.
   * @param call - Call and its key.
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

/** Reads a chat answer; a stream is whole only with its terminal event. */
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
