export { CallerQuarantine } from "./CallerQuarantine.js";
