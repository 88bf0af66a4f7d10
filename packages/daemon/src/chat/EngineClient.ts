import type { Instant } from "@pistachioway/kernel";
import type { HostSender } from "../kernel/index.js";
import { discardBody, type AttemptResponse, type AttemptFailure } from "../upstreams/index.js";
import type { ChatRequest } from "./ChatRequest.js";

const cancelTimeoutMilliseconds = 2_000;

/** Client of the HTTP interface of engines. */
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

  /** False only in a test that switches the validation of responses off. */
  get checksResponses(): boolean {
    return this.sender.checksResponses;
  }

  /**
   * Sends a chat completion request.
   * @param chat - Chat request.
   * @param attemptId - Id of the attempt.
   * @param engine - Name of the engine.
   */
  async sendChat(
    chat: ChatRequest,
    attemptId: string,
    engine: string,
  ): Promise<AttemptResponse | AttemptFailure> {
    const { request } = chat;
    return await this.sender.send(engine, {
      attemptId,
      method: "POST",
      path: "/v1/chat/completions",
      headers: {
        "content-type": "application/json",
        "x-chat-id": chat.engineChatId,
        "x-priority": String(request.team.priority),
        "x-deadline": String(request.deadline),
      },
      body: request.body,
      deadline: request.deadline,
      signal: request.signal,
    });
  }

  /**
   * Asks an engine to continue a stream that was interrupted.
   * @param chat - Chat request.
   * @param attemptId - Id of the attempt that started the stream.
   * @param engine - Name of the engine.
   * @param offset - Number of tokens already sent to the caller.
   */
  async resumeChat(
    chat: ChatRequest,
    attemptId: string,
    engine: string,
    offset: number,
  ): Promise<AttemptResponse | AttemptFailure> {
    const response = await this.sender.send(engine, {
      attemptId,
      method: "GET",
      path: `/v1/streams/${encodeURIComponent(attemptId)}?offset=${String(offset)}`,
      headers: {},
      body: undefined,
      deadline: chat.request.deadline,
      signal: chat.request.signal,
    });
    if (response.kind === "answer" && response.status !== 200) {
      discardBody(response.body);
      const detail = `the stream cannot be resumed: status ${String(response.status)}`;
      const { status } = response;
      return { kind: "failure", class: "lost", detail, status, isLeaving: false };
    }
    return response;
  }

  /**
   * Asks an engine to stop generating. A failure of the call is ignored.
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
    void this.sender.send(engine, request).then((response) => {
      if (response.kind === "answer") {
        discardBody(response.body);
      }
    });
  }
}
