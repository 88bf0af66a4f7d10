export { CallDeadline } from "./CallDeadline.js";
export { DeadlinePassedError } from "./DeadlinePassedError.js";
