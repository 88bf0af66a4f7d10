export * from "./acts/index.js";
export * from "./configuration/index.js";
export * from "./errors/index.js";
export * from "./hosts/index.js";
export * from "./kernel/index.js";
export * from "./operations/index.js";
