export { AwaitableCounter } from "./AwaitableCounter.js";
