export { hostListSchema } from "./schema.js";
export type { Host, HostList } from "./schema.js";
