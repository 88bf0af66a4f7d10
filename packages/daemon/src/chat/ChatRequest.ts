import type { CallerRequest } from "../callers/CallerRequest.js";
import type { ChatBody } from "./schema.js";

/** A chat request on its way through the daemon. */
export interface ChatRequest {
  readonly request: CallerRequest;
  readonly body: ChatBody;
  /** Id of the chat as the caller knows it. */
  readonly chatId: string;
  /** Id of the chat towards engines, distinct for each team. */
  readonly engineChatId: string;
  /** Engine that served the chat last, as the caller was told; undefined when it does not say. */
  readonly lastEngine: string | undefined;
  /** Estimated tokens of the prompt. */
  readonly promptTokens: number;
  /** True when the request holds no earlier answer. */
  readonly isFirstTurn: boolean;
  /** Engines that failed this request already. */
  excludedEngines: readonly string[];
  attemptCount: number;
}
