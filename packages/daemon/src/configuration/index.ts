export { ConfigurationTask } from "./ConfigurationTask.js";
export type { InForce } from "./ConfigurationTask.js";
