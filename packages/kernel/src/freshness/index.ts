export { Confirmation, type ClockReading } from "./Confirmation.js";
