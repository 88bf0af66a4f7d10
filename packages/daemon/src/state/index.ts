export { ConfigurationIndex } from "./ConfigurationIndex.js";
