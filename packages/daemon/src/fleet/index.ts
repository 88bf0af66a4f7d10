export { FleetTask, type FleetParts } from "./FleetTask.js";
