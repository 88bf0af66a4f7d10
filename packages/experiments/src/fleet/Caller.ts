import { Agent, request, type Dispatcher } from "undici";
import { defaultModel, getToken } from "./layout.js";

/** The result of a call as its caller received it. */
export interface CallResult {
  /** HTTP status; 0 when the connection broke before a response head. */
  readonly status: number;
  /** Outcome that the daemon reported; `broken` when there was no response head. */
  readonly outcome: string;
  /** Response body; the part that was received when the connection broke. */
  readonly text: string;
  /** Whether the whole response body was received. */
  readonly isBodyComplete: boolean;
}

/** A chat request. */
export interface ChatCall {
  readonly chat: string;
  readonly message: string;
  readonly tokens: number;
  readonly isStream: boolean;
  /** Time by which the request must be answered; the daemon's default when absent. */
  readonly deadline?: number;
}

/** A caller of one team with its own connection pool. */
export class Caller {
  private readonly agent = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

  private constructor(readonly team: string) {}

  /**
   * Creates a caller.
   * @param team - Team whose bearer token the caller sends.
   */
  static create(team: string): Caller {
    return new Caller(team);
  }

  /** Closes every connection. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /**
   * Sends a chat request.
   * @param address - Callers' listener of a daemon.
   * @param call - Chat request.
   */
  sendChat(address: string, call: ChatCall): Promise<CallResult> {
    const messages = [{ role: "user", content: call.message }];
    const body = { model: defaultModel, messages, max_tokens: call.tokens, stream: call.isStream };
    return this.send(address, "POST", "/v1/chat/completions", JSON.stringify(body), {
      "content-type": "application/json",
      "x-chat-id": call.chat,
      ...(call.deadline === undefined ? {} : { "x-deadline": String(call.deadline) }),
    });
  }

  /**
   * Requests a new act key from a daemon.
   * @param address - Callers' listener of a daemon.
   */
  async requestActKey(address: string): Promise<string> {
    const end = await this.send(address, "POST", "/v1/acts", "{}");
    return (JSON.parse(end.text) as { key: string }).key;
  }

  /**
   * Submits an act.
   * @param address - Callers' listener of a daemon.
   * @param path - Service and path below it, such as `booking/charges`.
   * @param key - Act key; the daemon issues one when absent.
   * @param deadline - Time by which the act must be answered; the daemon's default when absent.
   */
  sendAct(address: string, path: string, key?: string, deadline?: number): Promise<CallResult> {
    return this.send(address, "POST", `/v1/services/${path}`, "meal", {
      ...(key === undefined ? {} : { "idempotency-key": key }),
      ...(deadline === undefined ? {} : { "x-deadline": String(deadline) }),
    });
  }

  /**
   * Calls a service where the call may be repeated.
   * @param address - Callers' listener of a daemon.
   * @param path - Service and path below it, such as `booking/lookups/7`.
   */
  readService(address: string, path: string): Promise<CallResult> {
    return this.send(address, "GET", `/v1/services/${path}`);
  }

  private async send(
    address: string,
    method: Dispatcher.HttpMethod,
    path: string,
    body?: string,
    headers: Record<string, string> = {},
  ): Promise<CallResult> {
    const result = { status: 0, outcome: "broken", text: "", isBodyComplete: false };
    try {
      const response = await request(`http://${address}${path}`, {
        method,
        body,
        dispatcher: this.agent,
        headers: { ...headers, authorization: `Bearer ${getToken(this.team)}` },
      });
      result.status = response.statusCode;
      result.outcome = String(response.headers["x-outcome"] ?? "none");
      for await (const bytes of response.body) {
        result.text += String(bytes);
      }
      return { ...result, isBodyComplete: true };
    } catch {
      return result;
    }
  }
}
