export { Daemon } from "./Daemon.js";
export type { ListenAddresses } from "./Daemon.js";
