import type { Instant } from "@pistachioway/kernel";
import type { HostSender } from "../kernel/index.js";
import { discardBody, type AttemptResponse, type AttemptFailure } from "../upstreams/index.js";
import type { ChatRequest } from "./ChatRequest.js";

const cancelTimeoutMilliseconds = 2_000;

/** Speaks the engines' protocol. */
export class EngineClient {
  private constructor(
    private readonly sender: HostSender,
    private readonly getNow: () => Instant,
  ) {}

  /**
   * Creates a client.
   * @param sender - Sends to engines by name.
   * @param getNow - Reads the clock.
   */
  static create(sender: HostSender, getNow: () => Instant): EngineClient {
    return new EngineClient(sender, getNow);
  }

  /** False only in a test that switches the check of answers off. */
  get checksResponses(): boolean {
    return this.sender.checksAnswers;
  }

  /**
   * Sends a chat completion request.
   * @param run - Chat request.
   * @param attemptId - Id of the attempt.
   * @param engine - Name of the engine.
   */
  async sendChat(
    run: ChatRequest,
    attemptId: string,
    engine: string,
  ): Promise<AttemptResponse | AttemptFailure> {
    const { request } = run;
    return await this.sender.send(engine, {
      attemptId,
      method: "POST",
      path: "/v1/chat/completions",
      headers: {
        "content-type": "application/json",
        "x-chat-id": run.engineChatId,
        "x-priority": String(request.team.priority),
        "x-deadline": String(request.deadline),
      },
      body: request.body,
      deadline: request.deadline,
      signal: request.signal,
    });
  }

  /**
   * Asks an engine to go on with a stream that was cut off.
   * @param run - Chat request.
   * @param attemptId - Id of the attempt that began the stream.
   * @param engine - Name of the engine.
   * @param offset - Number of tokens already passed on.
   */
  async resumeChat(
    run: ChatRequest,
    attemptId: string,
    engine: string,
    offset: number,
  ): Promise<AttemptResponse | AttemptFailure> {
    const answer = await this.sender.send(engine, {
      attemptId,
      method: "GET",
      path: `/v1/streams/${encodeURIComponent(attemptId)}?offset=${String(offset)}`,
      headers: {},
      body: undefined,
      deadline: run.request.deadline,
      signal: run.request.signal,
    });
    if (answer.kind === "answer" && answer.status !== 200) {
      discardBody(answer.body);
      const detail = `the stream cannot be resumed: status ${String(answer.status)}`;
      return { kind: "failure", class: "lost", detail, isLeaving: false };
    }
    return answer;
  }

  /**
   * Tells an engine to stop generating; a failure of the call changes nothing.
   * @param attemptId - Id of the attempt.
   * @param engine - Name of the engine.
   */
  cancelChat(attemptId: string, engine: string): void {
    const request = {
      attemptId,
      method: "DELETE" as const,
      path: `/v1/streams/${encodeURIComponent(attemptId)}`,
      headers: {},
      body: undefined,
      deadline: this.getNow() + cancelTimeoutMilliseconds,
      signal: undefined,
    };
    void this.sender.send(engine, request).then((answer) => {
      if (answer.kind === "answer") {
        discardBody(answer.body);
      }
    });
  }
}
