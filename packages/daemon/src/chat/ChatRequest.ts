import type { CallerRequest } from "../callers/CallerRequest.js";
import type { ChatBody } from "./schema.js";

/** A chat completion request and the state of its attempts. */
export interface ChatRequest {
  readonly request: CallerRequest;
  readonly body: ChatBody;
  /** Id of the chat that the caller uses. */
  readonly chatId: string;
  /** Id of the chat that engines receive, distinct for each team. */
  readonly engineChatId: string;
  /**
   * Engine that served the chat last according to the caller, if the request names one that serves
   * the model.
   */
  readonly lastEngine: string | undefined;
  /** Estimated number of tokens of the prompt. */
  readonly promptTokens: number;
  /** True when the messages contain no earlier answer of the assistant. */
  readonly isFirstTurn: boolean;
  /** Engines that have failed this request; the next attempt must not use them. */
  excludedEngines: readonly string[];
  attemptCount: number;
  /** True once an attempt failed that may have run. */
  hasUnknownAttempt: boolean;
}
