import type { Dispatcher } from "undici";
import { RequestNotSentError } from "./RequestNotSentError.js";
import { withRequestStart } from "./withRequestStart.js";

/**
 * A request that waits for one of the connections to its host. The HTTP client ends it at the abort
 * of its signal only once a connection is free; this ends the wait at once.
 */
export class WaitingRequest {
  private isSent = false;

  private constructor(
    private readonly connections: Dispatcher,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Creates a request that has not been sent.
   * @param connections - Connections to the host.
   * @param signal - Aborted when the request is given up.
   */
  static create(connections: Dispatcher, signal: AbortSignal): WaitingRequest {
    return new WaitingRequest(connections, signal);
  }

  /**
   * Sends the request.
   * @param options - Request of the HTTP client.
   * @throws RequestNotSentError when it is given up before a connection is free; it is not sent
   *   later either.
   */
  async send(options: Omit<Dispatcher.RequestOptions, "signal">): Promise<Dispatcher.ResponseData> {
    const { signal } = this;
    const connections = this.connections.compose(
      withRequestStart((controller) => {
        this.start(controller);
      }),
    );
    return await new Promise((resolve, reject) => {
      const endWait = (): void => {
        if (!this.isSent) {
          reject(new RequestNotSentError());
        }
      };
      signal.addEventListener("abort", endWait, { once: true });
      void connections
        .request({ ...options, signal })
        .then(resolve, reject)
        .finally(() => {
          signal.removeEventListener("abort", endWait);
        });
    });
  }

  /** Called when a connection is free, before anything is written to it. */
  private start(controller: Dispatcher.DispatchController): void {
    if (this.signal.aborted && !this.isSent) {
      controller.abort(new RequestNotSentError());
      return;
    }
    this.isSent = true;
  }
}
