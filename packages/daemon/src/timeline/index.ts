export { Timeline } from "./Timeline.js";
export type { TimelinePage } from "./Timeline.js";
export { Recorder } from "./Recorder.js";
