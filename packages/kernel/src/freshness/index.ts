export { ConfigurationLease, type ClockReading } from "./ConfigurationLease.js";
