import type { ResponseHeaders, ResponseWriter } from "../callers/ResponseWriter.js";
import { Problem } from "../errors/index.js";
import type { EnginePlacement } from "../kernel/index.js";
import type { AttemptResponse, AttemptFailure } from "../upstreams/index.js";
import { hasMatchingDigest, readWholeBody } from "../upstreams/index.js";
import type { ChatRequest } from "./ChatRequest.js";
import type { EngineClient } from "./EngineClient.js";
import { placementHeader } from "./parseChat.js";
import { isOfAttempt, parseUsage, StreamRelay, type Usage } from "./StreamRelay.js";

/** The result of one attempt at one engine. */
export type ChatAttemptResult =
  { readonly kind: "complete" } | { readonly kind: "disconnected" } | FailedChatAttempt;

/** An attempt that failed. */
export interface FailedChatAttempt {
  readonly kind: "failed";
  readonly engine: string;
  readonly failure: AttemptFailure;
  /** Number of tokens sent to the caller; undefined before the stream has started. */
  readonly resumeOffset: number | undefined;
}

const maxResponseBytes = 16_777_216;

/**
 * An attempt of a chat request at one engine, whose stream can be resumed after an interruption.
 */
export class ChatAttempt {
  private usage: Usage | undefined;
  private readonly relay: StreamRelay;

  private constructor(
    private readonly engines: EngineClient,
    private readonly chat: ChatRequest,
    private readonly attemptId: string,
    private readonly placed: EnginePlacement,
    private readonly writer: ResponseWriter,
  ) {
    const headers = this.getHeaders();
    this.relay = StreamRelay.create({
      attemptId,
      isChecked: engines.checksResponses,
      write: (text) => writer.writeEvents(text, headers),
    });
  }

  /**
   * Creates an attempt.
   * @param engines - Client of the engines.
   * @param chat - Chat request.
   * @param attemptId - Id of the attempt, echoed by the engine.
   * @param placed - Engine that serves the attempt.
   * @param writer - Writes the response.
   */
  static create(
    engines: EngineClient,
    chat: ChatRequest,
    attemptId: string,
    placed: EnginePlacement,
    writer: ResponseWriter,
  ): ChatAttempt {
    return new ChatAttempt(engines, chat, attemptId, placed, writer);
  }

  /** Gets the token counts, once the engine has reported them. */
  getUsage(): Usage | undefined {
    return this.usage;
  }

  /** Sends the request and relays the response. */
  async run(): Promise<ChatAttemptResult> {
    const response = await this.engines.sendChat(this.chat, this.attemptId, this.placed.engine);
    if (this.chat.request.signal.aborted) {
      return this.disconnect();
    }
    if (response.kind === "failure") {
      return this.fail(response);
    }
    if (response.status >= 400) {
      return await this.handleErrorStatus(response);
    }
    return this.chat.body.stream
      ? await this.relayStream(response)
      : await this.relayWholeResponse(response);
  }

  /** Asks the engine to continue a stream that was interrupted. */
  async resume(): Promise<ChatAttemptResult> {
    const { chat, attemptId, placed, relay } = this;
    const offset = relay.getOffset();
    const response = await this.engines.resumeChat(chat, attemptId, placed.engine, offset);
    if (chat.request.signal.aborted) {
      return this.disconnect();
    }
    return response.kind === "failure" ? this.fail(response) : await this.relayStream(response);
  }

  /** Asks the engine to stop generating. */
  cancel(): void {
    this.engines.cancelChat(this.attemptId, this.placed.engine);
  }

  private async handleErrorStatus(response: AttemptResponse): Promise<ChatAttemptResult> {
    const body = await readWholeBody(response, maxResponseBytes);
    const detail = `answered ${String(response.status)}`;
    if (response.status < 500 && body !== undefined) {
      const text = body.toString("utf8").slice(0, 500);
      const reason = `engine "${this.placed.engine}" ${detail}: ${text}`;
      throw Problem.create("invalid-request", reason, "unknown");
    }
    return this.fail({ ...toLostFailure(detail), status: response.status });
  }

  private async relayWholeResponse(response: AttemptResponse): Promise<ChatAttemptResult> {
    const body = await readWholeBody(response, maxResponseBytes);
    if (this.chat.request.signal.aborted) {
      return this.disconnect();
    }
    if (body === undefined) {
      return this.fail(toLostFailure("the answer was cut off"));
    }
    const text = body.toString("utf8");
    const isExpected =
      hasMatchingDigest(response.headers, body) && isOfAttempt(text, this.attemptId);
    if (!isExpected && this.engines.checksResponses) {
      return this.fail(toMismatchFailure("the answer is mixed with another"));
    }
    this.usage = parseUsage(text);
    const headers = { ...this.getHeaders(), "content-type": "application/json" };
    this.writer.sendResponse(response.status, headers, body, "complete");
    return { kind: "complete" };
  }

  private async relayStream(response: AttemptResponse): Promise<ChatAttemptResult> {
    const result = await this.relay.relay(response.body);
    this.usage = this.relay.getUsage();
    if (this.chat.request.signal.aborted) {
      return this.disconnect();
    }
    if (result === "mixed") {
      return this.fail(toMismatchFailure("the stream is mixed with another"));
    }
    if (result === "interrupted") {
      return this.fail(toLostFailure("the stream was cut off"));
    }
    this.writer.endStream();
    return { kind: "complete" };
  }

  private disconnect(): ChatAttemptResult {
    this.cancel();
    return { kind: "disconnected" };
  }

  private fail(failure: AttemptFailure): ChatAttemptResult {
    const resumeOffset = this.writer.isStreamStarted() ? this.relay.getOffset() : undefined;
    return { kind: "failed", engine: this.placed.engine, failure, resumeOffset };
  }

  private getHeaders(): ResponseHeaders {
    return { "x-chat-id": this.chat.chatId, [placementHeader]: this.placed.engine };
  }
}

function toMismatchFailure(detail: string): AttemptFailure {
  return { kind: "failure", class: "mismatch", detail, isLeaving: false };
}

function toLostFailure(detail: string): AttemptFailure {
  return { kind: "failure", class: "lost", detail, isLeaving: false };
}
