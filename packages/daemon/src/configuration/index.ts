export { ConfigurationTask } from "./ConfigurationTask.js";
export type { ActiveConfiguration } from "./ConfigurationTask.js";
