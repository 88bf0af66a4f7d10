export { Daemon } from "./Daemon.js";
export type { Listening } from "./Daemon.js";
