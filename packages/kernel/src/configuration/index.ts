export { configurationSchema } from "./schema.js";
export type { Configuration, Engine, Model, Route, Service, Team, Zone } from "./schema.js";
