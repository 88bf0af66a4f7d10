export { RegistryTask, type RegistryDependencies } from "./RegistryTask.js";
