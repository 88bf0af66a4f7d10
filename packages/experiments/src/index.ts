export * from "./bench/index.js";
export * from "./demo/index.js";
export * from "./errors/index.js";
export * from "./fleet/index.js";
export * from "./matrix/index.js";
export * from "./outcomes/index.js";
export * from "./soak/index.js";
export * from "./site/index.js";
