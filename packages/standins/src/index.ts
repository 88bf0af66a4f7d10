export * from "./engine/index.js";
export * from "./errors/index.js";
export * from "./faults/index.js";
export * from "./platform/index.js";
export * from "./process/index.js";
export * from "./registry/index.js";
export * from "./service/index.js";
