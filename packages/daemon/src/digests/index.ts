export { PeerLinks } from "./PeerLinks.js";
export { DigestTask } from "./DigestTask.js";
export type { Heartbeat } from "./schema.js";
