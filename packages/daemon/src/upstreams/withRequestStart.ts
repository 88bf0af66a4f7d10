import type { Dispatcher } from "undici";

/** Called when the HTTP client has a connection for a request, before it writes to it. */
export type StartCallback = (controller: Dispatcher.DispatchController) => void;

/**
 * Creates an interceptor of the HTTP client that tells when a request is about to be sent.
 * @param onStart - Called then; again when the HTTP client sends the request again.
 */
export function withRequestStart(onStart: StartCallback): Dispatcher.DispatcherComposeInterceptor {
  return (dispatch) => (options, handler) => dispatch(options, toWatched(handler, onStart));
}

function toWatched(
  handler: Dispatcher.DispatchHandler,
  onStart: StartCallback,
): Dispatcher.DispatchHandler {
  return {
    onRequestStart: (controller, context) => {
      onStart(controller);
      handler.onRequestStart?.(controller, context);
    },
    onResponseStart: (...event) => handler.onResponseStart?.(...event),
    onResponseData: (...event) => handler.onResponseData?.(...event),
    onResponseEnd: (...event) => handler.onResponseEnd?.(...event),
    onResponseError: (...event) => handler.onResponseError?.(...event),
  };
}
