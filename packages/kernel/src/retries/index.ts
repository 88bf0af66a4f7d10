export { maxAttempts, maxResumes } from "./decideFailure.js";
export type {
  FailureClass,
  FailureMessage,
  FailureOutcome,
  FailRequestEffect,
  ResumeEffect,
  RetriesEffect,
  RetriesMessage,
  RetryEffect,
  RetryGuard,
} from "./messages.js";
export { NotRepeatableError } from "./NotRepeatableError.js";
export { RetriesError } from "./RetriesError.js";
export { retriesPlugin } from "./retriesPlugin.js";
export { RetryBudgetExhaustedError } from "./RetryBudgetExhaustedError.js";
export { RetryDeadlineError } from "./RetryDeadlineError.js";
export type { RetriesState } from "./state.js";
export { StreamBrokenError } from "./StreamBrokenError.js";
export { TooManyAttemptsError } from "./TooManyAttemptsError.js";
export { RetryWindowBudget, type RetryWindowBudgetOptions } from "./RetryWindowBudget.js";
