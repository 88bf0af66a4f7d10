export { Service } from "./Service.js";
export { ServiceRecords } from "./ServiceRecords.js";
export type { RunRecord } from "./ServiceRecords.js";
export { serviceOptionsSchema } from "./schema.js";
export type { ServiceFaults, ServiceOptions } from "./schema.js";
