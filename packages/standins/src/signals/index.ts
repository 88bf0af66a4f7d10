export { SignalCounter } from "./SignalCounter.js";
