export { diffRouting } from "./diffRouting.js";
