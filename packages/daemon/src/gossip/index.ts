export { PeerLinks } from "./PeerLinks.js";
export { GossipTask } from "./GossipTask.js";
export type { Heartbeat } from "./schema.js";
