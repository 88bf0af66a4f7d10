export { RegistryTask, type RegistryParts } from "./RegistryTask.js";
