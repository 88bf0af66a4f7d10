import type { AnswerHeaders, AnswerSink } from "../callers/AnswerSink.js";
import { Problem } from "../errors/index.js";
import type { EnginePlacement } from "../kernel/index.js";
import type { AttemptAnswer, AttemptFailure } from "../upstreams/index.js";
import { isIntact, readWhole } from "../upstreams/index.js";
import type { ChatRun } from "./ChatRun.js";
import type { EngineClient } from "./EngineClient.js";
import { placementHeader } from "./parseChat.js";
import { isOfAttempt, parseUsage, StreamRelay, type Usage } from "./StreamRelay.js";

/** How one attempt at one engine ended. */
export type ChatAttemptEnd =
  { readonly kind: "complete" } | { readonly kind: "disconnected" } | FailedEnd;

/** An attempt that failed. */
export interface FailedEnd {
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
    private readonly chatRun: ChatRun,
    private readonly attemptId: string,
    private readonly placed: EnginePlacement,
    private readonly sink: AnswerSink,
  ) {
    const headers = this.getHeaders();
    this.relay = StreamRelay.create({
      attemptId,
      isChecked: engines.checksAnswers,
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
    run: ChatRun,
    attemptId: string,
    placed: EnginePlacement,
    sink: AnswerSink,
  ): ChatAttempt {
    return new ChatAttempt(engines, run, attemptId, placed, sink);
  }

  /** Gets the token counts, once the engine has reported them. */
  getUsage(): Usage | undefined {
    return this.usage;
  }

  /** Sends the request and relays the answer. */
  async run(): Promise<ChatAttemptEnd> {
    const answer = await this.engines.sendChat(this.chatRun, this.attemptId, this.placed.engine);
    if (this.chatRun.request.signal.aborted) {
      return this.disconnect();
    }
    if (answer.kind === "failure") {
      return this.fail(answer);
    }
    if (answer.status >= 400) {
      return await this.takeErrorStatus(answer);
    }
    return this.chatRun.body.stream
      ? await this.relayStream(answer)
      : await this.relayWhole(answer);
  }

  /** Asks the engine to go on with a stream that was cut off. */
  async resume(): Promise<ChatAttemptEnd> {
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

  private async takeErrorStatus(answer: AttemptAnswer): Promise<ChatAttemptEnd> {
    const whole = await readWhole(answer.body, maxAnswerBytes);
    const detail = `answered ${String(answer.status)}`;
    if (answer.status < 500 && whole !== undefined) {
      const text = whole.toString("utf8").slice(0, 500);
      throw Problem.create("invalid-request", `engine "${this.placed.engine}" ${detail}: ${text}`);
    }
    return this.fail(toLost(detail));
  }

  private async relayWhole(answer: AttemptAnswer): Promise<ChatAttemptEnd> {
    const body = await readWhole(answer.body, maxAnswerBytes);
    if (this.chatRun.request.signal.aborted) {
      return this.disconnect();
    }
    if (body === undefined) {
      return this.fail(toLost("the answer was cut off"));
    }
    const text = body.toString("utf8");
    const isOwn = isIntact(answer.headers, body) && isOfAttempt(text, this.attemptId);
    if (!isOwn && this.engines.checksAnswers) {
      return this.fail(toMismatch("the answer is mixed with another"));
    }
    this.usage = parseUsage(text);
    const headers = { ...this.getHeaders(), "content-type": "application/json" };
    this.sink.sendWhole(answer.status, headers, body, "complete");
    return { kind: "complete" };
  }

  private async relayStream(answer: AttemptAnswer): Promise<ChatAttemptEnd> {
    const end = await this.relay.relay(answer.body);
    this.usage = this.relay.getUsage();
    if (this.chatRun.request.signal.aborted) {
      return this.disconnect();
    }
    if (end === "mixed") {
      return this.fail(toMismatch("the stream is mixed with another"));
    }
    if (end === "interrupted") {
      return this.fail(toLost("the stream was cut off"));
    }
    this.sink.endStream();
    return { kind: "complete" };
  }

  private disconnect(): ChatAttemptEnd {
    this.cancel();
    return { kind: "disconnected" };
  }

  private fail(failure: AttemptFailure): ChatAttemptEnd {
    const resumeOffset = this.sink.isStarted() ? this.relay.getOffset() : undefined;
    return { kind: "failed", engine: this.placed.engine, failure, resumeOffset };
  }

  private getHeaders(): AnswerHeaders {
    return { "x-chat-id": this.chatRun.chat, [placementHeader]: this.placed.engine };
  }
}

function toMismatch(detail: string): AttemptFailure {
  return { kind: "failure", class: "mismatch", detail, isLeaving: false };
}

function toLost(detail: string): AttemptFailure {
  return { kind: "failure", class: "lost", detail, isLeaving: false };
}
