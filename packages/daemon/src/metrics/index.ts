export { Metrics } from "./Metrics.js";
