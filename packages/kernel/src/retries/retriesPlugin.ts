import { pluginRegistry, type Instant, type Step } from "../kernel/index.js";
import { addRequest, setBudgetRatio } from "./budget.js";
import { decideFailure } from "./decideFailure.js";
import type { RetriesEffect, RetriesMessage } from "./messages.js";
import { createRetriesState, type RetriesState } from "./state.js";

/** Decides whether a request is sent again, resumed or failed after a failed attempt. */
export const retriesPlugin = pluginRegistry.addPlugin<RetriesState, RetriesMessage, RetriesEffect>({
  name: "retries",
  createState: createRetriesState,
  handle: (state, message, now) => ({ state, effects: handle(state, message, now) }),
});

function handle(
  state: RetriesState,
  message: RetriesMessage,
  now: Instant,
): Step<RetriesState, RetriesEffect>["effects"] {
  switch (message.kind) {
    case "configure":
      state.disabledGuards = message.disabledGuards ?? [];
      setBudgetRatio(state.budget, message.budgetRatio);
      return [];
    case "start":
      addRequest(state.budget);
      return [];
    case "done":
      state.failedRequests.delete(message.requestId);
      return [];
    case "failed":
      return [decideFailure(state, message, now)];
  }
}
