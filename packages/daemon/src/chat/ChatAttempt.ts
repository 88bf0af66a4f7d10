import type { ResponseHeaders, ResponseWriter } from "../callers/ResponseWriter.js";
import { Problem } from "../errors/index.js";
import type { Placed } from "../kernel/index.js";
import type { AttemptResponse, AttemptFailure } from "../upstreams/index.js";
import { hasMatchingDigest, readWholeBody } from "../upstreams/index.js";
import type { ChatRequest } from "./ChatRequest.js";
import type { EngineClient } from "./EngineClient.js";
import { placementHeader } from "./parseChat.js";
import { isOfAttempt, parseUsage, StreamRelay, type Usage } from "./StreamRelay.js";

/** How one attempt at one engine ended. */
export type ChatAttemptResult =
  { readonly kind: "complete" } | { readonly kind: "disconnected" } | FailedChatAttempt;

/** An attempt that failed. */
export interface FailedChatAttempt {
  readonly kind: "failed";
  readonly engine: string;
  readonly failure: AttemptFailure;
  /** Tokens that reached the caller; undefined before the first. */
  readonly resumeOffset: number | undefined;
}

const maxAnswerBytes = 16_777_216;

/** One attempt of a chat request at one engine, with resumes of its stream. */
export class ChatAttempt {
  private usage: Usage | undefined;
  private readonly relay: StreamRelay;

  private constructor(
    private readonly engines: EngineClient,
    private readonly chatRun: ChatRequest,
    private readonly attemptId: string,
    private readonly placed: Placed,
    private readonly sink: ResponseWriter,
  ) {
    const headers = this.getHeaders();
    this.relay = StreamRelay.create({
      attemptId,
      isChecked: engines.checksResponses,
      write: (text) => sink.writeEvents(text, headers),
    });
  }

  /**
   * Creates an attempt.
   * @param engines - Client of the engines.
   * @param run - Chat request.
   * @param attemptId - Id of the attempt, echoed by the engine.
   * @param placed - Engine that serves the attempt.
   * @param sink - Where the answer goes.
   */
  static create(
    engines: EngineClient,
    run: ChatRequest,
    attemptId: string,
    placed: Placed,
    sink: ResponseWriter,
  ): ChatAttempt {
    return new ChatAttempt(engines, run, attemptId, placed, sink);
  }

  /** Gets the token counts, once the engine has reported them. */
  getUsage(): Usage | undefined {
    return this.usage;
  }

  /** Sends the request and relays the answer. */
  async run(): Promise<ChatAttemptResult> {
    const answer = await this.engines.sendChat(this.chatRun, this.attemptId, this.placed.engine);
    if (this.chatRun.request.signal.aborted) {
      return this.disconnect();
    }
    if (answer.kind === "failure") {
      return this.fail(answer);
    }
    if (answer.status >= 400) {
      return await this.handleErrorStatus(answer);
    }
    return this.chatRun.body.stream
      ? await this.relayStream(answer)
      : await this.relayWholeResponse(answer);
  }

  /** Asks the engine to go on with a stream that was cut off. */
  async resume(): Promise<ChatAttemptResult> {
    const { chatRun, attemptId, placed, relay } = this;
    const offset = relay.getOffset();
    const answer = await this.engines.resumeChat(chatRun, attemptId, placed.engine, offset);
    if (chatRun.request.signal.aborted) {
      return this.disconnect();
    }
    return answer.kind === "failure" ? this.fail(answer) : await this.relayStream(answer);
  }

  /** Tells the engine to stop generating. */
  cancel(): void {
    this.engines.cancelChat(this.attemptId, this.placed.engine);
  }

  private async handleErrorStatus(answer: AttemptResponse): Promise<ChatAttemptResult> {
    const whole = await readWholeBody(answer.body, maxAnswerBytes);
    const detail = `answered ${String(answer.status)}`;
    if (answer.status < 500 && whole !== undefined) {
      const text = whole.toString("utf8").slice(0, 500);
      throw Problem.create("invalid-request", `engine "${this.placed.engine}" ${detail}: ${text}`);
    }
    return this.fail(toLostFailure(detail));
  }

  private async relayWholeResponse(answer: AttemptResponse): Promise<ChatAttemptResult> {
    const body = await readWholeBody(answer.body, maxAnswerBytes);
    if (this.chatRun.request.signal.aborted) {
      return this.disconnect();
    }
    if (body === undefined) {
      return this.fail(toLostFailure("the answer was cut off"));
    }
    const text = body.toString("utf8");
    const isOwn = hasMatchingDigest(answer.headers, body) && isOfAttempt(text, this.attemptId);
    if (!isOwn && this.engines.checksResponses) {
      return this.fail(toMismatchFailure("the answer is mixed with another"));
    }
    this.usage = parseUsage(text);
    const headers = { ...this.getHeaders(), "content-type": "application/json" };
    this.sink.sendResponse(answer.status, headers, body, "complete");
    return { kind: "complete" };
  }

  private async relayStream(answer: AttemptResponse): Promise<ChatAttemptResult> {
    const end = await this.relay.relay(answer.body);
    this.usage = this.relay.getUsage();
    if (this.chatRun.request.signal.aborted) {
      return this.disconnect();
    }
    if (end === "mixed") {
      return this.fail(toMismatchFailure("the stream is mixed with another"));
    }
    if (end === "interrupted") {
      return this.fail(toLostFailure("the stream was cut off"));
    }
    this.sink.endStream();
    return { kind: "complete" };
  }

  private disconnect(): ChatAttemptResult {
    this.cancel();
    return { kind: "disconnected" };
  }

  private fail(failure: AttemptFailure): ChatAttemptResult {
    const resumeOffset = this.sink.isStreamStarted() ? this.relay.getOffset() : undefined;
    return { kind: "failed", engine: this.placed.engine, failure, resumeOffset };
  }

  private getHeaders(): ResponseHeaders {
    return { "x-chat-id": this.chatRun.chatId, [placementHeader]: this.placed.engine };
  }
}

function toMismatchFailure(detail: string): AttemptFailure {
  return { kind: "failure", class: "mismatch", detail, isLeaving: false };
}

function toLostFailure(detail: string): AttemptFailure {
  return { kind: "failure", class: "lost", detail, isLeaving: false };
}
